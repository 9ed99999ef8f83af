/* Leases of one job on two workers, with delayed messages and discrete time.
 *
 * Heartbeats and replies may be delayed, lost or overtaken. Checked: the job
 * never runs on two workers, each lease is used once, and each resume starts
 * from the step at which the run before it stopped or later.
 * Mutations: FROM_REPLY, EARLY_EXPIRY, NO_FENCING, LOST_CHECKPOINT.
 */
#define LEASE 2
#define MAX_TIME 5
#define MAX_EPOCH 2
#define NOBODY 2
#ifdef EARLY_EXPIRY
#define KEEPER_LEASE 0
#else
#define KEEPER_LEASE LEASE
#endif

#ifdef NO_FENCING
#define IS_NEW(e, w) true
#else
#define IS_NEW(e, w) (e > used_epoch[w])
#endif
#ifdef FROM_REPLY
#define COUNT_FROM(sent) sent = time
#else
#define COUNT_FROM(sent) skip
#endif

byte time = 0;
byte holder = NOBODY;
byte epoch = 0;
byte checkpoint = 0;
bool stopping = false;
byte keeper_until = 0;
byte worker_until[2];
bool running[2];
byte run_epoch[2];
byte used_epoch[2];
byte step = 0;
byte run_step[2];
byte report_epoch[2];
byte report_step[2];
byte starts[MAX_EPOCH + 1];

/* Heartbeat: worker, send time, epoch reported as stopped, its step. */
chan heartbeat = [1] of { byte, byte, byte, byte };
/* Reply to a worker: send time of its heartbeat, epoch leased, start step, stop. */
chan reply0 = [1] of { byte, byte, byte, bool };
chan reply1 = [1] of { byte, byte, byte, bool };

inline end_run(w) {
  running[w] = false; report_epoch[w] = run_epoch[w]; report_step[w] = run_step[w];
  if :: run_step[w] > step -> step = run_step[w] :: else fi
}

proctype Clock() {
  do
  :: atomic { time < MAX_TIME ->
       time++;
       if :: running[0] && time >= worker_until[0] -> end_run(0) :: else fi;
       if :: running[1] && time >= worker_until[1] -> end_run(1) :: else fi }
  od
}

proctype Keeper() {
  byte w, sent, e, s;
  do
  :: atomic { holder == NOBODY && epoch < MAX_EPOCH ->
       if :: holder = 0 :: holder = 1 fi;
       epoch++; stopping = false; keeper_until = time + KEEPER_LEASE }
  :: atomic { holder != NOBODY && !stopping -> stopping = true }
  :: atomic { heartbeat?w, sent, e, s ->
       if
       :: holder == w && e == epoch ->
            holder = NOBODY;
#ifndef LOST_CHECKPOINT
            checkpoint = s
#else
            skip
#endif
       :: holder == w && e != epoch ->
            if :: time + KEEPER_LEASE > keeper_until -> keeper_until = time + KEEPER_LEASE :: else fi;
            if
            :: w == 0 && len(reply0) < 1 -> reply0!sent, epoch, checkpoint, stopping
            :: w == 1 && len(reply1) < 1 -> reply1!sent, epoch, checkpoint, stopping
            :: else
            fi
       :: else
       fi;
       w = 0; sent = 0; e = 0; s = 0 }
  :: atomic { holder != NOBODY && time > keeper_until ->
       /* Ended by expiry: an idempotent job goes on from its last checkpoint. */
       holder = NOBODY }
  od
}

inline take(w) {
  COUNT_FROM(sent);
  if
  :: sent + LEASE > time ->
       if :: sent + LEASE > worker_until[w] -> worker_until[w] = sent + LEASE :: else fi;
       if
       :: stop && running[w] && run_epoch[w] == e -> end_run(w)
       :: !stop && !running[w] && IS_NEW(e, w) ->
            assert(!running[1 - w]);
            starts[e]++;
            assert(starts[e] <= 1);
            running[w] = true; run_epoch[w] = e; used_epoch[w] = e; run_step[w] = s
       :: else
       fi
  :: else
  fi;
  sent = 0; e = 0; s = 0; stop = false
}

proctype Worker(byte w) {
  byte sent, e, s; bool stop;
  do
  :: atomic { time < MAX_TIME && nfull(heartbeat) ->
       heartbeat!w, time, report_epoch[w], report_step[w] }
  :: atomic { w == 0 && nempty(reply0) -> reply0?sent, e, s, stop; take(0) }
  :: atomic { w == 1 && nempty(reply1) -> reply1?sent, e, s, stop; take(1) }
  :: atomic { w == 0 && nempty(reply0) -> reply0?_, _, _, _ }
  :: atomic { w == 1 && nempty(reply1) -> reply1?_, _, _, _ }
  :: atomic { running[w] && run_step[w] < 2 -> run_step[w]++ }
  od
}

/* After a confirmed stop the next run starts from the reported step. */
proctype Monitor() {
  byte w;
  do
  :: atomic { running[0] && running[1] -> assert(false) }
  :: atomic { holder == NOBODY && !running[0] && !running[1] &&
       (report_epoch[0] == epoch || report_epoch[1] == epoch) && epoch > 0 &&
       time < keeper_until ->
       w = (report_epoch[0] == epoch -> 0 : 1);
       assert(checkpoint == report_step[w]); w = 0 }
  od
}

init { atomic { run Clock(); run Keeper(); run Worker(0); run Worker(1); run Monitor() } }
