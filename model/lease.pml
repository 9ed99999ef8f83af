/* Leases of one job on two workers, in discrete time.
 *
 * Heartbeats and replies may be delayed, lost or reordered. Checked: the job
 * never runs on two workers at once, each lease starts at most one run, and after
 * a confirmed stop the job resumes from the step at which the run stopped.
 * Mutations: FROM_REPLY, EARLY_EXPIRY, NO_FENCING, LOST_CHECKPOINT.
 */
#define LEASE 2
#define MAX_TIME 5
#define MAX_EPOCH 2
#define NO_WORKER 2
#ifdef EARLY_EXPIRY
#define KEEPER_LEASE 0
#else
#define KEEPER_LEASE LEASE
#endif

#ifdef NO_FENCING
#define IS_UNUSED_EPOCH(msg_epoch, worker) true
#else
#define IS_UNUSED_EPOCH(msg_epoch, worker) (msg_epoch > used_epoch[worker])
#endif
#ifdef FROM_REPLY
#define SET_LEASE_START(sent_at) sent_at = time
#else
#define SET_LEASE_START(sent_at) skip
#endif

byte time = 0;
byte holder = NO_WORKER;
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
byte start_count[MAX_EPOCH + 1];

/* Heartbeat: worker, send time, epoch reported as stopped, its step. */
chan heartbeat = [1] of { byte, byte, byte, byte };
/* Reply to a worker: send time of its heartbeat, epoch leased, start step, stop. */
chan reply0 = [1] of { byte, byte, byte, bool };
chan reply1 = [1] of { byte, byte, byte, bool };

inline end_run(worker) {
  running[worker] = false; report_epoch[worker] = run_epoch[worker]; report_step[worker] = run_step[worker];
  if :: run_step[worker] > step -> step = run_step[worker] :: else fi
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
  byte worker, sent_at, msg_epoch, msg_step;
  do
  :: atomic { holder == NO_WORKER && epoch < MAX_EPOCH ->
       if :: holder = 0 :: holder = 1 fi;
       epoch++; stopping = false; keeper_until = time + KEEPER_LEASE }
  :: atomic { holder != NO_WORKER && !stopping -> stopping = true }
  :: atomic { heartbeat?worker, sent_at, msg_epoch, msg_step ->
       if
       :: holder == worker && msg_epoch == epoch ->
            holder = NO_WORKER;
#ifndef LOST_CHECKPOINT
            checkpoint = msg_step
#else
            skip
#endif
       :: holder == worker && msg_epoch != epoch ->
            if :: time + KEEPER_LEASE > keeper_until -> keeper_until = time + KEEPER_LEASE :: else fi;
            if
            :: worker == 0 && len(reply0) < 1 -> reply0!sent_at, epoch, checkpoint, stopping
            :: worker == 1 && len(reply1) < 1 -> reply1!sent_at, epoch, checkpoint, stopping
            :: else
            fi
       :: else
       fi;
       worker = 0; sent_at = 0; msg_epoch = 0; msg_step = 0 }
  :: atomic { holder != NO_WORKER && time > keeper_until ->
       /* The lease expired: an idempotent job resumes from its last checkpoint. */
       holder = NO_WORKER }
  od
}

inline apply_reply(worker) {
  SET_LEASE_START(sent_at);
  if
  :: sent_at + LEASE > time ->
       if :: sent_at + LEASE > worker_until[worker] -> worker_until[worker] = sent_at + LEASE :: else fi;
       if
       :: stop && running[worker] && run_epoch[worker] == msg_epoch -> end_run(worker)
       :: !stop && !running[worker] && IS_UNUSED_EPOCH(msg_epoch, worker) ->
            assert(!running[1 - worker]);
            start_count[msg_epoch]++;
            assert(start_count[msg_epoch] <= 1);
            running[worker] = true; run_epoch[worker] = msg_epoch; used_epoch[worker] = msg_epoch; run_step[worker] = msg_step
       :: else
       fi
  :: else
  fi;
  sent_at = 0; msg_epoch = 0; msg_step = 0; stop = false
}

proctype Worker(byte worker) {
  byte sent_at, msg_epoch, msg_step; bool stop;
  do
  :: atomic { time < MAX_TIME && nfull(heartbeat) ->
       heartbeat!worker, time, report_epoch[worker], report_step[worker] }
  :: atomic { worker == 0 && nempty(reply0) -> reply0?sent_at, msg_epoch, msg_step, stop; apply_reply(0) }
  :: atomic { worker == 1 && nempty(reply1) -> reply1?sent_at, msg_epoch, msg_step, stop; apply_reply(1) }
  :: atomic { worker == 0 && nempty(reply0) -> reply0?_, _, _, _ }
  :: atomic { worker == 1 && nempty(reply1) -> reply1?_, _, _, _ }
  :: atomic { running[worker] && run_step[worker] < 2 -> run_step[worker]++ }
  od
}

/* After a confirmed stop the next run starts from the reported step. */
proctype Monitor() {
  byte worker;
  do
  :: atomic { running[0] && running[1] -> assert(false) }
  :: atomic { holder == NO_WORKER && !running[0] && !running[1] &&
       (report_epoch[0] == epoch || report_epoch[1] == epoch) && epoch > 0 &&
       time < keeper_until ->
       worker = (report_epoch[0] == epoch -> 0 : 1);
       assert(checkpoint == report_step[worker]); worker = 0 }
  od
}

init { atomic { run Clock(); run Keeper(); run Worker(0); run Worker(1); run Monitor() } }
