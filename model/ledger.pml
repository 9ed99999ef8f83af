/* The run ledger: one key, sent through two entries, with crashes and retries.
 *
 * Commands reach the log in any order and may be duplicated. Checked: the request
 * runs at most once, and an attempt reported as not run never runs.
 * Mutations: NO_LOOKUP, RERUN_UNKNOWN, RUN_WITHOUT_INTENT, LATE_RUN.
 */
#define ENTRIES 2
#define ATTEMPTS 4
#define NONE 0
#define INTENT 1
#define DONE 2
#define NOT_RUN 3
#define UNKNOWN 4

byte record_state = NONE;
byte recorded_nonce = 0;           /* nonce of the attempt in the record */
byte run_count = 0;
bool reported_not_run[ATTEMPTS + 1];
bool ran[ATTEMPTS + 1];
byte intent_reply[ATTEMPTS + 1]; /* 1 accepted, 2 refused */
byte next_nonce = 1;
byte crashes = 0;
/* Commands in flight: kind (1 intent, 2 done, 3 not run, 4 session end), nonce. */
chan in_flight = [4] of { byte, byte };

proctype Log() {
  byte kind, nonce;
  do
  :: atomic { in_flight??kind, nonce ->
       if
       :: kind == 1 ->
            if
            :: record_state == NONE -> record_state = INTENT; recorded_nonce = nonce; intent_reply[nonce] = 1
            :: record_state == INTENT && recorded_nonce == nonce -> intent_reply[nonce] = 1
            :: record_state == NOT_RUN && recorded_nonce != nonce ->
                 record_state = INTENT; recorded_nonce = nonce; intent_reply[nonce] = 1
#ifdef RERUN_UNKNOWN
            :: record_state == UNKNOWN && recorded_nonce != nonce -> record_state = INTENT; recorded_nonce = nonce; intent_reply[nonce] = 1
#endif
#ifdef NO_LOOKUP
            :: record_state == DONE || record_state == UNKNOWN -> intent_reply[nonce] = 1
#endif
            :: else -> if :: intent_reply[nonce] == 0 -> intent_reply[nonce] = 2 :: else fi
            fi
       :: kind == 2 && recorded_nonce == nonce && (record_state == INTENT || record_state == UNKNOWN) -> record_state = DONE
       :: kind == 3 && recorded_nonce == nonce && record_state == INTENT -> record_state = NOT_RUN
       :: kind == 3 && record_state == NONE -> record_state = NOT_RUN; recorded_nonce = nonce
       :: kind == 4 && recorded_nonce == nonce && record_state == INTENT -> record_state = UNKNOWN
       :: else
       fi;
       kind = 0; nonce = 0 }
  /* A command may be delivered again. */
  :: atomic { nempty(in_flight) && nfull(in_flight) -> in_flight?kind, nonce; in_flight!kind, nonce; in_flight!kind, nonce; kind = 0; nonce = 0 }
  /* Commands may be reordered. */
  :: atomic { len(in_flight) > 1 -> in_flight?kind, nonce; in_flight!kind, nonce; kind = 0; nonce = 0 }
  od
}

proctype Entry() {
  byte nonce;
  do
  :: atomic { next_nonce <= ATTEMPTS && len(in_flight) < 3 -> nonce = next_nonce; next_nonce++; in_flight!1, nonce };
     if
     :: atomic { intent_reply[nonce] == 1 ->
          ran[nonce] = true; run_count++;
          assert(run_count <= 1); assert(!reported_not_run[nonce]) };
        if
        :: atomic { nfull(in_flight) -> in_flight!2, nonce }
        :: atomic { crashes < 1 && nfull(in_flight) -> crashes++; in_flight!4, nonce }
        fi
     :: atomic { intent_reply[nonce] == 1 && nfull(in_flight) -> reported_not_run[nonce] = true; in_flight!3, nonce }
     :: intent_reply[nonce] == 2
#ifdef RUN_WITHOUT_INTENT
     :: atomic { intent_reply[nonce] == 0 -> run_count++; assert(run_count <= 1) }
#endif
     :: atomic { intent_reply[nonce] == 0 && nfull(in_flight) -> reported_not_run[nonce] = true; in_flight!3, nonce }
#ifdef LATE_RUN
        ; atomic { intent_reply[nonce] == 1 -> run_count++; assert(run_count <= 1); assert(!reported_not_run[nonce]) }
#endif
     :: atomic { intent_reply[nonce] != 2 && crashes < 1 && nfull(in_flight) -> crashes++; in_flight!4, nonce }
     fi;
     nonce = 0
  od
}

init { atomic { run Log(); run Entry(); run Entry(); } }
