/* Leader election and log replication, with crashes that lose unsynced writes.
 *
 * Each request and its reply are one atomic step. Checked: at most one leader in a
 * term, and no two different entries committed at one index.
 * Mutations: NO_SYNC, MINORITY, FORGET_VOTE, STALE_VOTE.
 */
#define KEEPERS 3
#define MAX_TERM 3
#define MAX_LOG_SIZE 2
#define MAX_CRASHES 2
#ifdef MINORITY
#define QUORUM 1
#else
#define QUORUM 2
#endif

#ifdef STALE_VOTE
#define IS_CURRENT true
#else
#define IS_CURRENT (own_last_term > peer_last_term || (own_last_term == peer_last_term && node[own].size >= node[peer].size))
#endif

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

typedef Node {
  byte role; byte term; byte voted; byte votes;
  byte size; byte log[MAX_LOG_SIZE];
  byte synced_size; byte synced[MAX_LOG_SIZE];
  byte match[KEEPERS];
}
Node node[KEEPERS];
byte committed[MAX_LOG_SIZE];
byte leader_by_term[MAX_TERM + 1];
byte crashes = 0;

inline count_votes(bits, result) {
  result = (bits & 1) + ((bits >> 1) & 1) + ((bits >> 2) & 1);
}

inline enter_term(id, new_term) {
  node[id].term = new_term; node[id].voted = 0; node[id].role = FOLLOWER; node[id].votes = 0;
}

inline last_term(id, result) {
  if
  :: node[id].size == 0 -> result = 0
  :: else -> result = node[id].log[node[id].size - 1]
  fi
}

inline sync(id) {
  node[id].synced_size = node[id].size;
  node[id].synced[0] = node[id].log[0]; node[id].synced[1] = node[id].log[1];
}

inline reset_match(id) {
  node[id].match[0] = 0; node[id].match[1] = 0; node[id].match[2] = 0;
}

proctype Keeper(byte own) {
  byte peer, own_last_term, peer_last_term, agreeing, pos;
  do
  :: atomic { node[own].role != LEADER && node[own].term < MAX_TERM ->
       enter_term(own, node[own].term + 1);
       node[own].role = CANDIDATE; node[own].voted = own + 1; node[own].votes = 1 << own }
  :: atomic { node[own].role == CANDIDATE ->
       if :: peer = (own + 1) % KEEPERS :: peer = (own + 2) % KEEPERS fi;
       if
       :: node[peer].term < node[own].term -> enter_term(peer, node[own].term)
       :: else
       fi;
       last_term(own, own_last_term); last_term(peer, peer_last_term);
       if
       :: (node[peer].term == node[own].term && (node[peer].voted == 0 || node[peer].voted == own + 1) && IS_CURRENT) -> node[peer].voted = own + 1; node[own].votes = node[own].votes | (1 << peer)
       :: else
       fi;
       own_last_term = 0; peer_last_term = 0; peer = 0 }
  :: atomic { node[own].role == CANDIDATE ->
       count_votes(node[own].votes, agreeing);
       if
       :: agreeing >= QUORUM ->
            node[own].role = LEADER; reset_match(own);
            assert(leader_by_term[node[own].term] == 0 || leader_by_term[node[own].term] == own + 1);
            leader_by_term[node[own].term] = own + 1
       :: else
       fi;
       agreeing = 0 }
  :: atomic { node[own].role == LEADER && node[own].size < MAX_LOG_SIZE ->
       node[own].log[node[own].size] = node[own].term; node[own].size++; sync(own) }
  :: atomic { node[own].role == LEADER ->
       if :: peer = (own + 1) % KEEPERS :: peer = (own + 2) % KEEPERS fi;
       if
       :: node[peer].term <= node[own].term ->
            if :: node[peer].term < node[own].term -> enter_term(peer, node[own].term) :: else fi;
            node[peer].role = FOLLOWER;
            pos = 0;
            do
            :: pos < node[own].size -> node[peer].log[pos] = node[own].log[pos]; pos++
            :: else -> break
            od;
            node[peer].size = node[own].size;
#ifdef NO_SYNC
            node[own].match[peer] = node[peer].size
#else
            sync(peer); node[own].match[peer] = node[peer].synced_size
#endif
       :: else
       fi;
       peer = 0; pos = 0 }
  :: atomic { node[own].role == LEADER && node[own].size > 0 ->
       pos = node[own].size;
       agreeing = 1 + (node[own].match[(own + 1) % KEEPERS] >= pos) + (node[own].match[(own + 2) % KEEPERS] >= pos);
       if
       :: agreeing >= QUORUM && node[own].log[pos - 1] == node[own].term ->
            do
            :: pos > 0 ->
                 pos--;
                 assert(committed[pos] == 0 || committed[pos] == node[own].log[pos]);
                 committed[pos] = node[own].log[pos]
            :: else -> break
            od
       :: else
       fi;
       pos = 0; agreeing = 0 }
  :: atomic { crashes < MAX_CRASHES ->
       crashes++;
       node[own].role = FOLLOWER; node[own].votes = 0;
#ifdef FORGET_VOTE
       node[own].voted = 0;
#endif
       node[own].size = node[own].synced_size;
       node[own].log[0] = node[own].synced[0]; node[own].log[1] = node[own].synced[1];
       reset_match(own) }
  od
}

init { atomic { run Keeper(0); run Keeper(1); run Keeper(2) } }
