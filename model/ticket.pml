/* Tickets submitted concurrently by two operators, and the configuration leases
 * of two entries.
 *
 * Checked: one content per number is accepted, retries get the first answer,
 * an entry's configuration never reverts, and an entry that serves has every
 * ticket that was accepted more than a lease ago.
 * Mutations: LAST_WINS, NO_LEASE, LEASE_FROM_REPLY, REVERTS.
 */
#define LEASE 2
#define MAX_TIME 4
#define TICKETS 2

byte time = 0;
byte version = 0;
byte content[TICKETS + 1];
byte accepted_at[TICKETS + 1];
byte confirmed_content[2];   /* content confirmed to each operator */
byte entry_version[2];
byte entry_until[2];

proctype Clock() { do :: atomic { time < MAX_TIME -> time++ } od }

proctype Operator(byte op) {
  byte attempts = 0;
  do
  :: atomic { attempts < 2 ->
       attempts++;
       if
       :: content[1] == 0 ->
            content[1] = op + 1; version = 1; accepted_at[1] = time; confirmed_content[op] = op + 1
       :: content[1] == op + 1 -> confirmed_content[op] = op + 1
       :: else ->
#ifdef LAST_WINS
            content[1] = op + 1; confirmed_content[op] = op + 1
#else
            skip
#endif
       fi;
       assert(!(confirmed_content[0] != 0 && confirmed_content[1] != 0)) }
  :: atomic { attempts == 2 && op == 0 && version == 1 ->
       content[2] = 1; version = 2; accepted_at[2] = time; break }
  :: attempts == 2 -> break
  od
}

proctype Entry(byte entry) {
  byte sent_at, reply_version, ticket; bool awaiting_reply = false;
  do
  :: atomic { !awaiting_reply && time < MAX_TIME -> sent_at = time; awaiting_reply = true };
     if
     :: reply_version = version
     :: skip; awaiting_reply = false   /* the request is lost */
     fi;
     if
     :: atomic { awaiting_reply ->
#ifdef LEASE_FROM_REPLY
          sent_at = time;
#endif
#ifdef REVERTS
          entry_version[entry] = (reply_version > 0 && time % 2 -> reply_version - 1 : reply_version);
#else
          assert(reply_version >= entry_version[entry]);
          entry_version[entry] = reply_version;
#endif
          if :: sent_at + LEASE > entry_until[entry] -> entry_until[entry] = sent_at + LEASE :: else fi;
          awaiting_reply = false }
     :: atomic { awaiting_reply -> awaiting_reply = false }   /* the reply is lost */
     :: !awaiting_reply
     fi;
     sent_at = 0; reply_version = 0
  :: atomic { /* serves a request */
#ifndef NO_LEASE
       time < entry_until[entry] ->
#else
       true ->
#endif
       ticket = 1;
       do
       :: ticket <= TICKETS ->
            assert(!(version >= ticket && accepted_at[ticket] + LEASE <= time && entry_version[entry] < ticket));
            ticket++
       :: else -> break
       od;
       ticket = 0 }
  od
}

init { atomic { run Clock(); run Operator(0); run Operator(1); run Entry(0); run Entry(1) } }
