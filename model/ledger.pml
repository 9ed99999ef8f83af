/* The run ledger: one key, sent through two entries, with crashes and resends.
 *
 * Commands reach the log in any order and may be doubled. Checked: the request
 * runs at most once, and an attempt whose caller was told "not run" never runs.
 * Mutations: NO_LOOKUP, RERUN_UNKNOWN, RUN_WITHOUT_INTENT, LATE_RUN.
 */
#define ENTRIES 2
#define ATTEMPTS 4
#define NONE 0
#define INTENT 1
#define DONE 2
#define NOT_RUN 3
#define UNKNOWN 4

byte state = NONE;
byte owner = 0;             /* nonce of the attempt that the record names */
byte runs = 0;
bool told_not_run[ATTEMPTS + 1];
bool ran[ATTEMPTS + 1];
byte granted[ATTEMPTS + 1]; /* 1 accepted, 2 refused */
byte next = 1;
byte crashes = 0;
/* Commands in flight: kind (1 intent, 2 done, 3 not run, 4 session end), nonce. */
chan net = [4] of { byte, byte };

proctype Log() {
  byte kind, nonce;
  do
  :: atomic { net??kind, nonce ->
       if
       :: kind == 1 ->
            if
            :: state == NONE -> state = INTENT; owner = nonce; granted[nonce] = 1
            :: state == INTENT && owner == nonce -> granted[nonce] = 1
            :: state == NOT_RUN && owner != nonce ->
                 state = INTENT; owner = nonce; granted[nonce] = 1
#ifdef RERUN_UNKNOWN
            :: state == UNKNOWN && owner != nonce -> state = INTENT; owner = nonce; granted[nonce] = 1
#endif
#ifdef NO_LOOKUP
            :: state == DONE || state == UNKNOWN -> granted[nonce] = 1
#endif
            :: else -> if :: granted[nonce] == 0 -> granted[nonce] = 2 :: else fi
            fi
       :: kind == 2 && owner == nonce && (state == INTENT || state == UNKNOWN) -> state = DONE
       :: kind == 3 && owner == nonce && state == INTENT -> state = NOT_RUN
       :: kind == 3 && state == NONE -> state = NOT_RUN; owner = nonce
       :: kind == 4 && owner == nonce && state == INTENT -> state = UNKNOWN
       :: else
       fi;
       kind = 0; nonce = 0 }
  /* A command may be delivered again. */
  :: atomic { nempty(net) && nfull(net) -> net?kind, nonce; net!kind, nonce; net!kind, nonce; kind = 0; nonce = 0 }
  /* Commands overtake each other. */
  :: atomic { len(net) > 1 -> net?kind, nonce; net!kind, nonce; kind = 0; nonce = 0 }
  od
}

proctype Entry() {
  byte nonce;
  do
  :: atomic { next <= ATTEMPTS && len(net) < 3 -> nonce = next; next++; net!1, nonce };
     if
     :: atomic { granted[nonce] == 1 ->
          ran[nonce] = true; runs++;
          assert(runs <= 1); assert(!told_not_run[nonce]) };
        if
        :: atomic { nfull(net) -> net!2, nonce }
        :: atomic { crashes < 1 && nfull(net) -> crashes++; net!4, nonce }
        fi
     :: atomic { granted[nonce] == 1 && nfull(net) -> told_not_run[nonce] = true; net!3, nonce }
     :: granted[nonce] == 2
#ifdef RUN_WITHOUT_INTENT
     :: atomic { granted[nonce] == 0 -> runs++; assert(runs <= 1) }
#endif
     :: atomic { granted[nonce] == 0 && nfull(net) -> told_not_run[nonce] = true; net!3, nonce }
#ifdef LATE_RUN
        ; atomic { granted[nonce] == 1 -> runs++; assert(runs <= 1); assert(!told_not_run[nonce]) }
#endif
     :: atomic { granted[nonce] != 2 && crashes < 1 && nfull(net) -> crashes++; net!4, nonce }
     fi;
     nonce = 0
  od
}

init { atomic { run Log(); run Entry(); run Entry(); } }
