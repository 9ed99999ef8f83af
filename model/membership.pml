/* Replacement of voters, while one keeper at a time is away and one disk is lost.
 *
 * Keeper 0 leads all the time; it has three voters, keepers 0 to 2, and a learner,
 * keeper 3. Keeper 4 is the new identity of the keeper that has lost its disk. The
 * log holds memberships only; a keeper follows the last one that it holds, committed
 * or not. Checked: whenever no keeper is away, one can be elected.
 * Mutation: REMOVE_FIRST, which removes a silent voter before a learner is promoted.
 */
#define KEEPERS 5
#define WANTED 3
#define MAX_ENTRIES 9
#define MAX_ABSENCES 3
#define NOBODY 9

#define HAS(set, id) (((set) >> (id)) & 1)
#define COUNT(set) (HAS(set, 0) + HAS(set, 1) + HAS(set, 2) + HAS(set, 3) + HAS(set, 4))
#define QUORUM(set) (COUNT(set) / 2 + 1)
#define VOTERS voters[held[0]]
#define MAY_PROPOSE (held[0] < MAX_ENTRIES && committed == held[0])

byte voters[MAX_ENTRIES + 1]; /* by index of the entry, as a set of bits */
byte held[KEEPERS];           /* last entry that each keeper holds */
byte committed = 0;
byte away = NOBODY;
byte lost = NOBODY;
byte absences = 0;
bool has_returned = false;    /* the keeper without its disk, as keeper 4 */

#define EXISTS(id) ((id) != lost && ((id) < 4 || has_returned))
#define ANSWERS(id) (EXISTS(id) && (id) != away)
#define GIVES_VOTE(id, to) (EXISTS(id) && HAS(voters[held[to]], id) && held[id] <= held[to])
#define VOTES(to) (GIVES_VOTE(0, to) + GIVES_VOTE(1, to) + GIVES_VOTE(2, to) + GIVES_VOTE(3, to) + GIVES_VOTE(4, to))
#define ELECTABLE(id) (EXISTS(id) && HAS(voters[held[id]], id) && VOTES(id) >= QUORUM(voters[held[id]]))
#define HOLDS(id) (EXISTS(id) && HAS(VOTERS, id) && held[id] == held[0])
#define COPIES (HOLDS(0) + HOLDS(1) + HOLDS(2) + HOLDS(3) + HOLDS(4))

inline pick(id) {
  if :: id = 1 :: id = 2 :: id = 3 :: id = 4 fi
}

inline append(set) {
  voters[held[0] + 1] = set; held[0]++
}

#define CAN_VOTE(id) (ANSWERS(id) && held[id] >= committed && !HAS(VOTERS, id))
#define SOME_CAN_VOTE (CAN_VOTE(1) || CAN_VOTE(2) || CAN_VOTE(3) || CAN_VOTE(4))
#define IS_SILENT(id) (HAS(VOTERS, id) && !ANSWERS(id))
#define SOME_SILENT (IS_SILENT(1) || IS_SILENT(2) || IS_SILENT(3) || IS_SILENT(4))

proctype Leader() {
  byte id;
  do
  :: atomic { pick(id); /* replicates the log */
       if :: ANSWERS(id) -> held[id] = held[0] :: else fi; id = 0 }
  :: atomic { COPIES >= QUORUM(VOTERS) -> committed = held[0] }
  :: atomic { MAY_PROPOSE -> pick(id); /* promotes a learner */
       if
#ifdef REMOVE_FIRST
       :: CAN_VOTE(id) && COUNT(VOTERS) < WANTED -> append(VOTERS | (1 << id))
#else
       :: CAN_VOTE(id) && (COUNT(VOTERS) < WANTED || (COUNT(VOTERS) == WANTED && SOME_SILENT)) -> append(VOTERS | (1 << id))
#endif
       :: else
       fi; id = 0 }
  :: atomic { MAY_PROPOSE -> pick(id); /* removes a silent voter */
       if
#ifdef REMOVE_FIRST
       :: IS_SILENT(id) && SOME_CAN_VOTE -> append(VOTERS & ~(1 << id))
#else
       :: IS_SILENT(id) && COUNT(VOTERS) > WANTED -> append(VOTERS & ~(1 << id))
#endif
       :: else
       fi; id = 0 }
  :: atomic { MAY_PROPOSE && COUNT(VOTERS) > WANTED && !SOME_SILENT -> pick(id);
       if :: HAS(VOTERS, id) -> append(VOTERS & ~(1 << id)) :: else fi; id = 0 }
  :: atomic { MAY_PROPOSE && has_returned && HAS(VOTERS, lost) -> append(VOTERS & ~(1 << lost)) }
  od
}

proctype Faults() {
  byte id;
  do
  :: atomic { away == NOBODY && absences < MAX_ABSENCES -> pick(id);
       if :: EXISTS(id) -> away = id; absences++ :: else fi; id = 0 }
  :: atomic { away != NOBODY -> away = NOBODY }
  :: atomic { lost == NOBODY -> if :: lost = 1 :: lost = 2 :: lost = 3 fi;
       if :: away == lost -> away = NOBODY :: else fi }
  :: atomic { lost != NOBODY && !has_returned -> has_returned = true }
  od
}

proctype Monitor() {
  atomic { away == NOBODY ->
    assert(ELECTABLE(0) || ELECTABLE(1) || ELECTABLE(2) || ELECTABLE(3) || ELECTABLE(4)) }
}

init { atomic { voters[0] = 7; run Leader(); run Faults(); run Monitor() } }
