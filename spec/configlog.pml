/*
 * The configuration log of three keepers: elections, votes across crashes, a
 * stale leader, resent changes, two changes racing under one base version, a
 * disk that is wiped, and the replacement of its vote in two steps.
 *
 * The network: messages may be delivered never, late, twice and in any order.
 * The appends of a term's leader are prefixes of its log, which only grows
 * while it leads, so the log as it was sent, kept for each term, stands for
 * every append ever sent. Acknowledgements are kept as the highest index for
 * each term and keeper. A cut is a stretch without deliveries: a leader
 * behind one goes on leading its term, and may append, commit what was
 * acknowledged and try to answer reads.
 *
 * Left out, as they change no outcome here: trial votes and time-outs (any
 * keeper may stand at any moment), snapshots, and the followers' own commit
 * index (it is the leader's, delivered late).
 *
 * A change's result is decided when its entry is committed. Both changes, A
 * and B, are based on version 0. Each BUG_ flag is one seeded mistake; an
 * assertion must fail with it, see scripts/spec.sh. A REACH_ flag shows that
 * a state is reached at all, again by an assertion that must fail.
 */

#ifndef TERMS
#define TERMS 3
#endif
#ifndef LENGTH
#define LENGTH 3 /* entries of a log, 2 to 4 */
#endif
#ifndef WIPES
#define WIPES 0 /* 1: keeper 2 may lose its disk */
#endif
#ifndef CHANGES
#define CHANGES 1 /* 0: no change is proposed */
#endif

#define KEEPERS 3
#define DISKS 4 /* the last is the new disk of keeper 2 */

/* Kinds of entries; an entry is TERM * 8 + kind, 0 is no entry. */
#define NOOP 1
#define CHANGE_A 2
#define CHANGE_B 3
#define REMOVE 4 /* the wiped disk of keeper 2 loses its vote */
#define JOIN 5 /* its new disk gets a vote */
#define ENTRY(t, kind) ((t) * 8 + (kind))
#define TERM_OF(e) ((e) >> 3)
#define KIND_OF(e) ((e) & 7)

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

/* Durable at each keeper. */
byte term[KEEPERS];
byte vote[KEEPERS]; /* 0, or 1 + the candidate */
byte log[KEEPERS * LENGTH];
bool wiped; /* keeper 2 has a new, once empty disk */

/* Volatile at each keeper. */
byte role[KEEPERS];
byte votes[KEEPERS]; /* bit k: keeper k's vote is on its way or here */

/* For each term: who led, what it sent, what was acknowledged, committed. */
byte led[TERMS + 1]; /* 0, or 1 + the keeper */
byte sent[(TERMS + 1) * LENGTH];
byte acked[(TERMS + 1) * DISKS];
byte commit[TERMS + 1];

/* What happened, for the assertions. */
byte committed[LENGTH];
byte committed_in[LENGTH]; /* the first term that committed the entry */
byte accepted; /* bit 0: A was told accepted, bit 1: B */
byte conflicted;

byte i, n, c, t, k; /* scratch, 0 between steps */
bool differs;

#define LOG(x, j) log[(x) * LENGTH + (j)]
#define SENT(x, j) sent[(x) * LENGTH + (j)]
#define ACKED(x, d) acked[(x) * DISKS + (d)]

/* n = the entries of keeper x's log */
inline count_log(x) {
	n = 0;
	do
	:: n < LENGTH && LOG(x, n) != 0 -> n++
	:: else -> break
	od
}

/* c = the last membership entry in keeper x's log: 0, REMOVE or JOIN */
inline find_membership(x) {
	c = 0;
	i = 0;
	do
	:: i < LENGTH && LOG(x, i) != 0 ->
		if
		:: KIND_OF(LOG(x, i)) >= REMOVE -> c = KIND_OF(LOG(x, i))
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

/* Whether the disk that keeper y has now may vote under membership c. */
#ifdef BUG_WIPED_VOTES
#define VOTES(y, c) ((y) != 2 || (c) != REMOVE)
#else
#define VOTES(y, c) ((y) != 2 || ((c) == 0 && !wiped) || ((c) == JOIN && wiped))
#endif

#ifdef BUG_WIPED_VOTES
#define DISK(y) (y)
#define VOTER_ACKED(t, c, m) (ACKED(t, 2) >= (m))
#else
/* Acknowledgements and votes name the disk, not the keeper. */
#define DISK(y) ((y) + ((y) == 2 && wiped))
#define VOTER_ACKED(t, c, m) (((c) == 0 && ACKED(t, 2) >= (m)) || ((c) == JOIN && ACKED(t, 3) >= (m)))
#endif

#define NEEDED(c) 2 /* of three voters, or of the two left */

#define BIT(set, y) (((set) >> (y)) & 1)

inline stand(x) {
	d_step {
		find_membership(x);
		if
		:: VOTES(x, c) ->
			term[x]++;
			vote[x] = x + 1;
			role[x] = CANDIDATE;
			votes[x] = 1 << x
		:: else
		fi;
		c = 0
	}
}

#ifdef BUG_VOTE_SHORT_LOG
#define UP_TO_DATE (1)
#else
#define UP_TO_DATE (i > t || (i == t && n >= k))
#endif

/* Keeper y votes for candidate x. */
inline give_vote(x, y) {
	d_step {
		find_membership(x);
		if
		:: term[y] < term[x] ->
			term[y] = term[x];
			vote[y] = 0;
			role[y] = FOLLOWER;
			votes[y] = 0
		:: else
		fi;
		count_log(y);
		k = n;
		count_log(x);
		/* t: the last term of y's log, i: of x's */
		t = 0;
		if :: k > 0 -> t = TERM_OF(LOG(y, k - 1)) :: else fi;
		i = 0;
		if :: n > 0 -> i = TERM_OF(LOG(x, n - 1)) :: else fi;
		if
		:: VOTES(y, c) && (vote[y] == 0 || vote[y] == x + 1) && UP_TO_DATE ->
			vote[y] = x + 1;
			votes[x] = votes[x] | (1 << y)
		:: else
		fi;
		i = 0; n = 0; c = 0; t = 0; k = 0
	}
}

inline lead(x) {
	d_step {
		count_log(x);
		find_membership(x);
		if
		:: n < LENGTH && BIT(votes[x], 0) + BIT(votes[x], 1) + BIT(votes[x], 2) >= NEEDED(c) ->
			t = term[x];
			/* one leader per term */
			assert(led[t] == 0);
			/* what was committed is in the log of every later term's leader */
			i = 0;
			do
			:: i < LENGTH && committed[i] != 0 -> assert(committed_in[i] >= t || committed[i] == LOG(x, i)); i++
			:: else -> break
			od;
			led[t] = x + 1;
			role[x] = LEADER;
			votes[x] = 0;
			LOG(x, n) = ENTRY(t, NOOP);
			i = 0;
			do
			:: i < LENGTH -> SENT(t, i) = LOG(x, i); i++
			:: else -> break
			od
		:: else
		fi;
		i = 0; n = 0; c = 0; t = 0
	}
}

/* The leader of x appends an entry of its term. */
inline append(x, kind) {
	d_step {
		count_log(x);
		if
		:: n < LENGTH ->
			t = term[x];
			LOG(x, n) = ENTRY(t, kind);
			SENT(t, n) = ENTRY(t, kind)
		:: else
		fi;
		n = 0; t = 0
	}
}

/* Keeper y takes the first m entries sent in term tm. */
inline take(tm, y, m) {
	d_step {
		if
		:: term[y] < tm ->
			term[y] = tm;
			vote[y] = 0
		:: else
		fi;
		role[y] = FOLLOWER;
		votes[y] = 0;
		differs = 0;
		i = 0;
		do
		:: i < m -> differs = differs || LOG(y, i) != SENT(tm, i); LOG(y, i) = SENT(tm, i); i++
		:: else -> break
		od;
		do
		:: differs && i < LENGTH -> LOG(y, i) = 0; i++
		:: else -> break
		od;
		if
		:: ACKED(tm, DISK(y)) < m -> ACKED(tm, DISK(y)) = m
		:: else
		fi;
		i = 0; differs = 0
	}
}

#ifdef BUG_COMMIT_OLD_TERM
#define MAY_COMMIT(e, tm) (1)
#else
#define MAY_COMMIT(e, tm) (TERM_OF(e) == (tm))
#endif

/* Leader x commits its first m entries and answers the operators. */
inline commit_to(x, m) {
	d_step {
		find_membership(x);
		t = term[x];
		/* k: the voters that have the entries, the leader included */
		k = (VOTES(x, c) != 0);
		if :: x != 0 && ACKED(t, 0) >= m -> k++ :: else fi;
		if :: x != 1 && ACKED(t, 1) >= m -> k++ :: else fi;
		if :: x != 2 && VOTER_ACKED(t, c, m) -> k++ :: else fi;
		if
		:: LOG(x, m - 1) != 0 && MAY_COMMIT(LOG(x, m - 1), t) && k >= NEEDED(c) ->
			commit[t] = m;
			i = 0;
			do
			:: i < m ->
				/* committed entries never change */
				assert(committed[i] == 0 || committed[i] == LOG(x, i));
				if
				:: committed[i] == 0 || committed_in[i] > t -> committed_in[i] = t
				:: else
				fi;
				committed[i] = LOG(x, i);
#ifdef REACH_JOIN
				assert(KIND_OF(LOG(x, i)) != JOIN);
#endif
				i++
			:: else -> break
			od
		:: else
		fi;
		i = 0; c = 0; t = 0; k = 0
	}
}

#ifdef BUG_RESEND_TWICE
/* The change id is not looked up: the resend conflicts with itself. */
#define WINS(x, j) (i == j)
#elif defined(BUG_EQUAL_VERSIONS)
/* The base version is not compared. */
#define WINS(x, j) (1)
#else
#define WINS(x, j) (KIND_OF(LOG(x, i)) == KIND_OF(LOG(x, j)))
#endif

/*
 * Leader x answers whoever asked for the change in entry j: the first change
 * in the log is accepted, a resend of it gets the same answer, the other one
 * conflicts.
 */
inline answer(x, j) {
	d_step {
		i = 0;
		do
		:: i < j && (KIND_OF(LOG(x, i)) < CHANGE_A || KIND_OF(LOG(x, i)) > CHANGE_B) -> i++
		:: else -> break
		od;
		if
		:: WINS(x, j) -> accepted = accepted | (1 << (KIND_OF(LOG(x, j)) - CHANGE_A))
		:: else -> conflicted = conflicted | (1 << (KIND_OF(LOG(x, j)) - CHANGE_A))
		fi;
		i = 0;
		/* of two changes of equal versions one wins */
		assert(accepted != 3);
		/* a resend gets the first answer */
		assert((accepted & conflicted) == 0)
	}
}

#ifdef BUG_ANSWER_EARLY
#define MAY_ANSWER(x, j) (LOG(x, j) != 0)
#else
#define MAY_ANSWER(x, j) (commit[term[x]] > (j))
#endif

#define IS_CHANGE(x, j) (KIND_OF(LOG(x, j)) == CHANGE_A || KIND_OF(LOG(x, j)) == CHANGE_B)

#ifdef BUG_READ_UNCONFIRMED
#define MAY_READ (1)
#else
#define MAY_READ (k >= NEEDED(c))
#endif

/* A read that a leader answers shows all that was committed. */
inline read(x) {
	d_step {
		find_membership(x);
		t = term[x];
		k = (term[0] <= t) + (term[1] <= t) + (term[2] <= t && VOTES(2, c));
		n = 0;
		do
		:: n < LENGTH && committed[n] != 0 -> n++
		:: else -> break
		od;
		if
		:: commit[t] > 0 && TERM_OF(LOG(x, commit[t] - 1)) == t && MAY_READ -> assert(commit[t] >= n)
		:: else
		fi;
		c = 0; t = 0; k = 0; n = 0
	}
}

inline crash(x) {
	d_step {
		role[x] = FOLLOWER;
		votes[x] = 0;
#ifdef BUG_VOTE_VOLATILE
		vote[x] = 0;
#endif
#ifdef BUG_ACK_BEFORE_SYNC
		count_log(x);
		if :: n > 0 -> LOG(x, n - 1) = 0 :: else fi;
		n = 0
#endif
	}
}

#ifdef BUG_VOTE_VOLATILE
#define MAY_CRASH(x) (role[x] != FOLLOWER || vote[x] != 0)
#elif defined(BUG_ACK_BEFORE_SYNC)
#define MAY_CRASH(x) (LOG(x, 0) != 0)
#else
#define MAY_CRASH(x) (role[x] != FOLLOWER)
#endif

/* Keeper 2 comes back under its name with an empty disk. */
inline wipe() {
	d_step {
		wiped = 1;
		term[2] = 0;
		vote[2] = 0;
		role[2] = FOLLOWER;
		votes[2] = 0;
		i = 0;
		do
		:: i < LENGTH -> LOG(2, i) = 0; i++
		:: else -> break
		od;
		i = 0
	}
}

#ifdef BUG_MEMBER_EARLY
#define MAY_MEND(x) (1)
#else
#define MAY_MEND(x) (!differs && k > 0 && TERM_OF(LOG(x, k - 1)) == t)
#endif

/* The wiped disk loses its vote, then the new one gets it, each step
   committed before the next and by a leader that knows all of the past. */
inline mend_membership(x) {
	d_step {
		count_log(x);
		find_membership(x);
		t = term[x];
		k = commit[t];
		/* differs: a membership entry is not committed yet */
		differs = 0;
		i = k;
		do
		:: i < n -> differs = differs || KIND_OF(LOG(x, i)) >= REMOVE; i++
		:: else -> break
		od;
		if
		:: n < LENGTH && MAY_MEND(x) && c == 0 -> LOG(x, n) = ENTRY(t, REMOVE); SENT(t, n) = LOG(x, n)
		:: n < LENGTH && MAY_MEND(x) && c == REMOVE && ACKED(t, DISK(2)) >= k -> LOG(x, n) = ENTRY(t, JOIN); SENT(t, n) = LOG(x, n)
		:: else
		fi;
		i = 0; n = 0; c = 0; t = 0; k = 0; differs = 0
	}
}

#define KEEPER(x) \
	:: term[x] < TERMS && role[x] != LEADER -> stand(x) \
	:: role[x] == CANDIDATE && led[term[x]] != x + 1 -> lead(x) \
	:: role[x] == LEADER && CHANGES && LOG(x, LENGTH - 1) == 0 -> append(x, CHANGE_A) \
	:: role[x] == LEADER && CHANGES && LOG(x, LENGTH - 1) == 0 -> append(x, CHANGE_B) \
	:: role[x] == LEADER -> read(x) \
	:: MAY_CRASH(x) -> crash(x)

#define PAIR(x, y) \
	:: role[x] == CANDIDATE && (term[y] < term[x] || (term[y] == term[x] && vote[y] == 0)) -> give_vote(x, y)

#define ENTRIES(x, j) \
	:: role[x] == LEADER && LOG(x, j) != 0 && commit[term[x]] < (j) + 1 -> commit_to(x, (j) + 1) \
	:: role[x] == LEADER && CHANGES && IS_CHANGE(x, j) && MAY_ANSWER(x, j) -> answer(x, j)

#define APPENDS(tm, y, m) \
	:: led[tm] != 0 && led[tm] != y + 1 && SENT(tm, (m) - 1) != 0 && term[y] <= tm && \
		(term[y] < tm || ACKED(tm, DISK(y)) < (m)) -> take(tm, y, m)

#if LENGTH == 2
#define LAST_ENTRIES(x)
#define LAST_APPENDS(tm, y)
#elif LENGTH == 3
#define LAST_ENTRIES(x) ENTRIES(x, 2)
#define LAST_APPENDS(tm, y) APPENDS(tm, y, 3)
#else
#define LAST_ENTRIES(x) ENTRIES(x, 2) ENTRIES(x, 3)
#define LAST_APPENDS(tm, y) APPENDS(tm, y, 3) APPENDS(tm, y, 4)
#endif

#define APPENDS_TO(tm, y) APPENDS(tm, y, 1) APPENDS(tm, y, 2) LAST_APPENDS(tm, y)

init {
end:
	do /* it may end where every term is used up */
	KEEPER(0)
	KEEPER(1)
	KEEPER(2)
	PAIR(0, 1)
	PAIR(0, 2)
	PAIR(1, 0)
	PAIR(1, 2)
	PAIR(2, 0)
	PAIR(2, 1)
	ENTRIES(0, 0)
	ENTRIES(0, 1)
	LAST_ENTRIES(0)
	ENTRIES(1, 0)
	ENTRIES(1, 1)
	LAST_ENTRIES(1)
	ENTRIES(2, 0)
	ENTRIES(2, 1)
	LAST_ENTRIES(2)
	APPENDS_TO(1, 0)
	APPENDS_TO(1, 1)
	APPENDS_TO(1, 2)
	APPENDS_TO(2, 0)
	APPENDS_TO(2, 1)
	APPENDS_TO(2, 2)
#if TERMS > 2
	APPENDS_TO(3, 0)
	APPENDS_TO(3, 1)
	APPENDS_TO(3, 2)
#endif
#if TERMS > 3
	APPENDS_TO(4, 0)
	APPENDS_TO(4, 1)
	APPENDS_TO(4, 2)
#endif
#if WIPES
	:: !wiped -> wipe()
	:: role[0] == LEADER && wiped -> mend_membership(0)
	:: role[1] == LEADER && wiped -> mend_membership(1)
	:: role[2] == LEADER && wiped -> mend_membership(2)
#endif
	od
}
