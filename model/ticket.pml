/* Tickets raced by two operators, and configuration leases of two entries.
 *
 * Checked: one content per number is accepted, resends get the first answer,
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
byte answer[2];              /* content that each operator was told is in force */
byte entry_version[2];
byte entry_until[2];

proctype Clock() { do :: atomic { time < MAX_TIME -> time++ } od }

proctype Operator(byte who) {
  byte tries = 0;
  do
  :: atomic { tries < 2 ->
       tries++;
       if
       :: content[1] == 0 ->
            content[1] = who + 1; version = 1; accepted_at[1] = time; answer[who] = who + 1
       :: content[1] == who + 1 -> answer[who] = who + 1
       :: else ->
#ifdef LAST_WINS
            content[1] = who + 1; answer[who] = who + 1
#else
            skip
#endif
       fi;
       assert(!(answer[0] != 0 && answer[1] != 0)) }
  :: atomic { tries == 2 && who == 0 && version == 1 ->
       content[2] = 1; version = 2; accepted_at[2] = time; break }
  :: tries == 2 -> break
  od
}

proctype Entry(byte e) {
  byte sent, seen, i; bool busy = false;
  do
  :: atomic { !busy && time < MAX_TIME -> sent = time; busy = true };
     if
     :: seen = version
     :: skip; busy = false   /* lost */
     fi;
     if
     :: atomic { busy ->
#ifdef LEASE_FROM_REPLY
          sent = time;
#endif
#ifdef REVERTS
          entry_version[e] = (seen > 0 && time % 2 -> seen - 1 : seen);
#else
          assert(seen >= entry_version[e]);
          entry_version[e] = seen;
#endif
          if :: sent + LEASE > entry_until[e] -> entry_until[e] = sent + LEASE :: else fi;
          busy = false }
     :: atomic { busy -> busy = false }   /* the reply is lost */
     :: !busy
     fi;
     sent = 0; seen = 0
  :: atomic { /* serves a request */
#ifndef NO_LEASE
       time < entry_until[e] ->
#else
       true ->
#endif
       i = 1;
       do
       :: i <= TICKETS ->
            assert(!(version >= i && accepted_at[i] + LEASE <= time && entry_version[e] < i));
            i++
       :: else -> break
       od;
       i = 0 }
  od
}

init { atomic { run Clock(); run Operator(0); run Operator(1); run Entry(0); run Entry(1) } }
