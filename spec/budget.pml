/*
 * The budget protocol of one workspace across two availability zones.
 *
 * Zone 0 has a keeper K whose disk may be lost, and a router A with two
 * incarnations (0 and 1) that may both be alive: the first may be frozen and
 * wake up. Zone 1's keeper mirrors K's vault, witnesses A's charges when K is
 * out of reach, and has a router B of its own. A third keeper holds K's mark.
 * With SIBLING, zone 0 has a router C beside A.
 *
 * The network: a message that was sent may be delivered never, late, twice
 * and in any order, so each message is a bit that is never taken back. A cut
 * is a stretch without deliveries, a frozen process one without steps, and a
 * crash between a write and its reply is a reply that is never delivered: all
 * three are behaviours of this model without variables of their own. K writes
 * its rows in one commit before it replies; REPLY_BEFORE_SYNC shows why.
 *
 * While K is paired with its mirror, every commit is on both disks before it
 * is answered. Before K goes on alone it leaves a mark at another holder, and
 * from then on its copy falls behind. What K gives to another zone, and the
 * remainder of a fenced incarnation, moves only while it is paired.
 *
 * Every request costs one token. Each BUG_ flag is one seeded mistake; an
 * assertion must fail with it, see scripts/spec.sh. A REACH_ flag shows that
 * a state is reached at all, again by an assertion that must fail.
 *
 * Left out: a commit reaches K's disk and the mirror in one step, so the order
 * of the two writes is not checked here (K's own comes first; the fuzzed cores
 * crash between them), and neither is the loss of the mirror's disk.
 *
 * Assumed: two VMs never answer under one address, so that a keeper which
 * asks router A hears the incarnation that started last. SHARED_ADDRESS shows
 * what would happen without it.
 */

#ifndef PAID0
#define PAID0 1 /* tokens of the top-up that zone 0 mints */
#endif
#ifndef PAID1
#define PAID1 0 /* tokens of the top-up that zone 1 mints, 0 for none */
#endif
#ifndef LEASES
#define LEASES 1 /* lease requests of one incarnation */
#endif
#ifndef LOSSES
#define LOSSES 1 /* times that K may lose its disk */
#endif

#define REQUESTS 3 /* the third only with LARGE */

/* Life of an incarnation in K's book. */
#define UNKNOWN 0
#define REGISTERED 1
#define FENCED 2
#define RETURNED 3

/* A request at an incarnation. */
#define IDLE 0
#define CHARGING 1  /* run ended, charge sent */
#define DURABLE 2   /* charge stored, that answer is under way */
#define COMPLETED 3 /* the completion mark has left */
#define REFUSED 4

/* K's rows, durable until the disk is lost. */
bool k_top_up;
byte k_minted;
short k_unspent;
byte k_given;
bool k_frozen;
byte k_leased[2];
byte k_sequence[2];
byte k_life[2];
byte k_bill[REQUESTS]; /* 0, 1 + the incarnation that was billed, or C */
bool k_proved[2];
byte k_known; /* while frozen: 1 + the newest incarnation in the copy */
bool k_routers_only; /* lost again while frozen: a mark proves nothing */
byte k_losses;
#ifdef PRUNE
bool k_old[REQUESTS]; /* charges made of this request so far are refused */
bool k_pruned[REQUESTS]; /* the bill is in the sum of its day */
bool m_old[REQUESTS];
bool m_pruned[REQUESTS];
bool a_two[6]; /* the own keeper's answer was on two disks */
#define OLD(q) (k_old[q])
#define PRUNED (k_pruned[0] + k_pruned[1] + k_pruned[2])
#define BILLED(q) (k_bill[q] != 0 || k_pruned[q])
#else
#define OLD(q) (0)
#define PRUNED (0)
#define BILLED(q) (k_bill[q] != 0)
#endif
bool paired;
bool marked; /* at another holder: the copy lacks answered commits */

/* The mirror's copy of K's rows, and its own rows as witness. */
bool m_top_up;
byte m_minted;
byte m_given;
byte m_leased[2];
byte m_sequence[2];
byte m_life[2];
byte m_bill[REQUESTS];
bool m_frozen;
byte m_known;
bool m_fenced[2];
bool m_witnessed[6]; /* incarnation * REQUESTS + request */

/* Router A; its state is volatile. */
bool a_live[2];
bool a_started; /* incarnation 1 */
byte a_holds[2]; /* leased rights that no request has reserved */
byte a_asked[2]; /* sequence of the last lease request sent */
byte a_granted[2]; /* sequence of the last lease reply taken */
byte a_request[6];

bool sent; /* the transfer, once */

/* Router C of zone 0, with SIBLING. */
#define C 3
bool c_spent;

/* Lease replies on the way: the highest sequence answered. */
byte reply_sequence[2];

/* Zone 1's rows and router B, which asks a keeper that loses nothing. */
byte z_minted;
byte z_unspent;
byte z_received;
bool z_bill[REQUESTS];

/* What happened, for the assertions. */
byte paid;
bool done[REQUESTS];

#define AT(i, q) ((i) * REQUESTS + (q))

#define BILLS (PRUNED + 1 * (k_bill[0] != 0) + 1 * (k_bill[1] != 0) + 1 * (k_bill[2] != 0))
#define SPENT (done[0] + done[1] + done[2])
#define HANDED_OVER(i) \
	((!m_witnessed[AT(i, 0)] || k_bill[0] || OLD(0)) && \
	 (!m_witnessed[AT(i, 1)] || k_bill[1] || OLD(1)) && \
	 (!m_witnessed[AT(i, 2)] || k_bill[2] || OLD(2)))

/* The invariants of every state. */
inline check() {
	d_step {
		/* completed spend <= minted */
		assert(SPENT <= paid);
		/* a resent top-up counts once */
		assert(k_minted <= PAID0);
#ifdef PRUNE
		/* a request is billed once, also after its bill has gone */
		assert(!(k_bill[0] && k_pruned[0]) && !(k_bill[1] && k_pruned[1]));
#endif
		/* rights exist once: unspent + leased + charged + in transfer */
		assert(k_minted + z_minted ==
			k_unspent + k_leased[0] + k_leased[1] + BILLS + (k_given - z_received) +
			z_unspent + z_bill[0] + z_bill[1] + z_bill[2]);
	}
}

inline copy_rows() {
	m_top_up = k_top_up;
	m_minted = k_minted;
	m_given = k_given;
	m_leased[0] = k_leased[0]; m_leased[1] = k_leased[1];
	m_sequence[0] = k_sequence[0]; m_sequence[1] = k_sequence[1];
	m_life[0] = k_life[0]; m_life[1] = k_life[1];
	m_bill[0] = k_bill[0]; m_bill[1] = k_bill[1]; m_bill[2] = k_bill[2];
#ifdef PRUNE
	m_old[0] = k_old[0]; m_old[1] = k_old[1];
	m_pruned[0] = k_pruned[0]; m_pruned[1] = k_pruned[1];
#endif
	m_frozen = k_frozen;
	m_known = k_known
}

/* K's commit is on the mirror too before it is answered. */
inline commit() {
	if
	:: paired -> copy_rows()
	:: else
	fi
}

inline top_up() {
	d_step {
		if
		:: !k_top_up && paid < PAID0 + PAID1 * (z_minted > 0) -> paid = paid + PAID0
		:: else
		fi;
		k_top_up = 1;
		k_minted = k_minted + PAID0;
		k_unspent = k_unspent + PAID0;
		commit()
	}
}

/* A newer incarnation fences the earlier one. */
inline register_newer() {
	d_step {
		k_life[1] = REGISTERED;
		if
		:: k_life[0] == REGISTERED -> k_life[0] = FENCED
		:: else
		fi;
		commit()
	}
}

inline fence() {
	d_step {
		k_life[0] = FENCED;
		commit()
	}
}

/* One lease request of incarnation i, new or resent. */
inline lease(i) {
	d_step {
		if
		:: a_asked[i] > k_sequence[i] ->
			k_unspent--;
			k_leased[i]++;
			k_sequence[i] = a_asked[i]
		:: else
		fi;
		commit();
		reply_sequence[i] = a_asked[i]
	}
}

/* Bill request q to incarnation i, from its lease where it has one. */
inline bill(i, q) {
	k_bill[q] = i + 1;
	if
	:: k_leased[i] > 0 -> k_leased[i]--
	:: else -> k_unspent--
	fi
}

#ifdef BUG_LATE_CHARGE
/* The request ran, so it is billed although its incarnation was fenced. */
#define MAY_BILL(i, q) (k_bill[q] == 0)
#else
#define MAY_BILL(i, q) (k_bill[q] == 0 && !OLD(q) && k_life[i] < FENCED && k_leased[i] > 0)
#endif

/* The charge of request q arrives at K from incarnation i. */
inline charge(i, q) {
	d_step {
		if
		:: k_bill[q] != 0 -> answer(i, q, DURABLE); two_disks(i, q)
		:: MAY_BILL(i, q) ->
			bill(i, q);
			commit();
			answer(i, q, DURABLE);
			two_disks(i, q)
		:: else -> answer(i, q, REFUSED)
		fi
	}
}

inline two_disks(i, q) {
#ifdef PRUNE
	if
	:: paired && a_live[i] -> a_two[AT(i, q)] = 1
	:: else
	fi
#else
	skip
#endif
}

/* The router takes the first answer to a charge. */
inline answer(i, q, result) {
	if
	:: a_request[AT(i, q)] == CHARGING -> a_request[AT(i, q)] = result
	:: else
	fi
}

/* The answer to a charge arrives: the completion mark leaves. */
inline complete(i, q) {
	d_step {
		a_request[AT(i, q)] = COMPLETED;
		done[q] = 1;
	}
}

/* The mirror hands a witnessed charge over to K; the first bill counts. */
inline hand_over(i, q) {
	d_step {
		if
#ifdef BUG_PRUNE_HANDOVER
		/* the witness still has a charge whose bill has gone */
		:: k_bill[q] == 0 -> bill(i, q); commit()
#else
		:: k_bill[q] == 0 && !OLD(q) -> bill(i, q); commit()
#endif
		:: else
		fi
	}
}

#ifdef PRUNE
/*
 * Incarnation i can bring no charge of request q that K does not have: it is
 * released, or the newest, and has K's answer from two disks or has none made.
 */
#define QUIET(i, q) (k_life[i] == RETURNED || (i == 1 && k_life[1] == UNKNOWN && !a_started) || \
	(k_life[i] == REGISTERED && a_live[i] && (a_request[AT(i, q)] == IDLE || a_two[AT(i, q)])))

#ifdef BUG_PRUNE_UNHEARD
#define MAY_AGE(q) (!k_frozen && paired && !k_old[q])
#else
#define MAY_AGE(q) (!k_frozen && paired && !k_old[q] && QUIET(0, q) && QUIET(1, q))
#endif

#ifdef BUG_PRUNE_UNSETTLED
#define MAY_PRUNE(q) (k_bill[q] != 0 && k_old[q] && !k_frozen && paired)
#else
/* no other zone has a bill whose claim is open */
#define MAY_PRUNE(q) (k_bill[q] != 0 && k_old[q] && !k_frozen && paired && !z_bill[q])
#endif

inline age(q) { d_step { k_old[q] = 1; commit() } }

/* The bill goes; its tokens stay in the sum of its day. */
inline prune(q) {
	d_step {
#ifdef REACH_PRUNE
		assert(!m_witnessed[AT(0, q)]); /* while the witness has the charge */
#endif
		k_bill[q] = 0;
		k_pruned[q] = 1;
		commit()
	}
}

/* Restore what K knows of pruned bills from the mirror's copy. */
inline restore_pruned() {
	k_old[0] = m_old[0]; k_old[1] = m_old[1];
	k_pruned[0] = m_pruned[0]; k_pruned[1] = m_pruned[1];
}
#endif

#define NEWEST (1 + (k_life[1] != UNKNOWN))

/* The disk is gone; K comes back from the mirror's copy, frozen. */
inline lose_disk() {
	d_step {
		k_losses++;
		k_top_up = m_top_up;
		k_minted = m_minted;
		k_given = m_given;
		k_leased[0] = m_leased[0]; k_leased[1] = m_leased[1];
		k_sequence[0] = m_sequence[0]; k_sequence[1] = m_sequence[1];
		k_life[0] = m_life[0]; k_life[1] = m_life[1];
		k_bill[0] = m_bill[0]; k_bill[1] = m_bill[1]; k_bill[2] = m_bill[2];
#ifdef PRUNE
		restore_pruned();
#endif
		k_proved[0] = 0; k_proved[1] = 0;
		k_unspent = k_minted - k_given - k_leased[0] - k_leased[1] - BILLS;
#ifndef BUG_RESTORE_UNFROZEN
		k_frozen = 1;
#endif
		if
		:: m_frozen -> k_known = m_known; k_routers_only = 1
		:: else -> k_known = NEWEST
		fi;
		/* nothing is answered before the mirror has this K's rows */
		copy_rows();
		paired = 1
	}
}

/*
 * Incarnation i tells the restored K what it was granted and which charges it
 * keeps, answered or not. From then on it takes no lease reply of the earlier
 * K and sends the same lease again.
 */
inline prove(i) {
	d_step {
		if
		:: k_life[i] == UNKNOWN ->
			k_life[i] = REGISTERED;
			if
			:: i == 1 && k_life[0] == REGISTERED -> k_life[0] = FENCED
			:: else
			fi
		:: else
		fi;
		if
		:: a_granted[i] > k_sequence[i] ->
			k_leased[i] = k_leased[i] + a_granted[i] - k_sequence[i];
			k_unspent = k_unspent - (a_granted[i] - k_sequence[i]);
			k_sequence[i] = a_granted[i]
		:: else
		fi;
		prove_charge(i, 0);
		prove_charge(i, 1);
		prove_charge(i, 2);
#ifndef BUG_PROOF_OLD_REPLY
		reply_sequence[i] = 0;
#endif
		k_proved[i] = 1;
		commit()
	}
}

inline prove_charge(i, q) {
	if
	:: a_request[AT(i, q)] != IDLE && a_request[AT(i, q)] != REFUSED && k_bill[q] == 0 && !OLD(q) -> bill(i, q)
	:: else
	fi
}

#ifdef BUG_PROOF_ANY_INCARNATION
/* The word of any incarnation ends the freeze. */
#define ALL_PROVED (k_proved[0] || k_proved[1])
#else
/* The newest incarnation in the copy still runs, so there was no later one. */
#define ALL_PROVED (k_proved[k_known - 1])
#endif

/* Nobody holds a mark: the copy has all that was answered. */
#define COPY_COMPLETE (!marked && !k_routers_only)

inline release() {
	d_step {
#ifdef REACH_RELEASE
		assert(0);
#endif
		k_frozen = 0;
		if
		:: c_spent && k_bill[2] == 0 -> k_bill[2] = C; k_unspent--
		:: else
		fi;
		k_known = 0;
		k_routers_only = 0;
		commit()
	}
}

inline return_remainder(i) {
	d_step {
		k_unspent = k_unspent + k_leased[i];
		k_leased[i] = 0;
		k_life[i] = RETURNED;
		commit()
	}
}

#ifdef BUG_FENCE_NO_MIRROR
#define MAY_RETURN(i) (k_life[i] == FENCED && paired)
#elif defined(BUG_FENCE_NO_HANDOVER)
#define MAY_RETURN(i) (k_life[i] == FENCED && paired && m_fenced[i])
#elif defined(BUG_RETURN_UNPAIRED)
#define MAY_RETURN(i) (k_life[i] == FENCED && m_fenced[i] && HANDED_OVER(i))
#else
/* A copy without the fence would take charges for rights that are returned. */
#define MAY_RETURN(i) (k_life[i] == FENCED && paired && m_fenced[i] && HANDED_OVER(i))
#endif

#ifdef BUG_GIVE_UNPAIRED
#define MAY_GIVE (1)
#else
#define MAY_GIVE (paired)
#endif

/* A bill crosses zones once two disks have it; its claim outlives it. */
#ifdef PRUNE
#ifdef BUG_PRUNE_UNSETTLED
#define SETTLED(q) (m_bill[q])
#else
#define SETTLED(q) (m_bill[q] || m_pruned[q])
#endif
#else
#define SETTLED(q) (m_bill[q])
#endif

/*
 * Both zones billed request q: zone 0's bill counts, zone 1's returns. In the
 * code the bill counts that a third keeper was told of first, on two disks.
 */
inline settle(q) {
	d_step {
#ifdef REACH_SETTLE
		assert(0);
#endif
		z_bill[q] = 0;
		z_unspent++;
	}
}

#ifdef SHARED_ADDRESS
#define ANSWERS(i) (a_live[i] && k_life[i] < FENCED)
#else
#define ANSWERS(i) (a_live[i] && k_life[i] < FENCED && (i == 1 || !a_started))
#endif

/* No more faults: every message arrives, A is fenced, the books settle. */
inline heal() {
	if :: k_frozen && ANSWERS(0) && !k_proved[0] -> prove(0) :: else fi;
	if :: k_frozen && ANSWERS(1) && !k_proved[1] -> prove(1) :: else fi;
	if :: k_frozen && (ALL_PROVED || COPY_COMPLETE) -> release() :: else fi;
	if
	:: k_frozen /* a dead router's last charges are not known: stays frozen */
	:: else ->
		d_step {
			m_fenced[0] = 1; m_fenced[1] = 1;
			if :: m_witnessed[0] -> hand_over(0, 0) :: else fi;
			if :: m_witnessed[1] -> hand_over(0, 1) :: else fi;
			if :: m_witnessed[4] -> hand_over(1, 1) :: else fi;
			if :: m_witnessed[5] -> hand_over(1, 2) :: else fi;
			return_remainder(0);
			return_remainder(1);
			copy_rows();
			if :: sent && !z_received -> z_received = 1; z_unspent++ :: else fi;
#ifndef BUG_BILL_TWICE
			if :: z_bill[0] && SETTLED(0) -> settle(0) :: else fi;
#endif
		}
		d_step {
			/* a request is billed at most once after the heal */
			assert(!(BILLED(0) && z_bill[0]));
			/* a completed request is billed */
			assert(!done[0] || BILLED(0) || z_bill[0]);
			assert(!done[1] || BILLED(1));
			assert(!done[2] || BILLED(2));
			/* no right is lost */
			assert(k_leased[0] + k_leased[1] == 0);
			assert(k_minted + z_minted == k_unspent + BILLS + z_unspent + z_bill[0]);
		}
	fi
}

#ifdef BUG_REPLY_BEFORE_SYNC
/* K answered, then crashed before the row was synced. */
#define LOST_WRITE(i, q) \
	:: a_request[AT(i, q)] == CHARGING && !k_frozen && MAY_BILL(i, q) -> a_request[AT(i, q)] = DURABLE
#else
#define LOST_WRITE(i, q)
#endif

/* The steps of incarnation i and of what it sent. */
#define INCARNATION(i, q) \
	:: a_live[i] && a_request[AT(i, q)] == IDLE && a_holds[i] > 0 && !OLD(q) -> \
		d_step { a_holds[i]--; a_request[AT(i, q)] = CHARGING } \
	:: a_request[AT(i, q)] >= CHARGING && (!k_frozen || k_proved[i]) -> charge(i, q) \
	:: a_request[AT(i, q)] >= CHARGING && MAY_WITNESS(i) && !m_witnessed[AT(i, q)] -> \
		d_step { m_witnessed[AT(i, q)] = 1; \
			if :: a_request[AT(i, q)] == CHARGING -> a_request[AT(i, q)] = DURABLE :: else fi } \
	LOST_WRITE(i, q) \
	:: a_live[i] && a_request[AT(i, q)] == DURABLE -> complete(i, q) \
	:: m_witnessed[AT(i, q)] && !k_frozen && k_bill[q] == 0 -> hand_over(i, q)

#ifdef BUG_LATE_WITNESS
#define MAY_WITNESS(i) (1)
#else
#define MAY_WITNESS(i) (!m_fenced[i])
#endif

#define INCARNATION_LEASES(i) \
	:: a_live[i] && a_asked[i] < LEASES && a_asked[i] == a_granted[i] -> a_asked[i]++ \
	:: a_asked[i] > a_granted[i] && (!k_frozen || k_proved[i]) && k_life[i] == REGISTERED && \
		(a_asked[i] <= k_sequence[i] || (k_unspent > 0 && !k_frozen)) && reply_sequence[i] != a_asked[i] -> lease(i) \
	:: a_live[i] && TAKES_REPLY(i) -> \
		d_step { a_granted[i] = reply_sequence[i]; a_holds[i]++ } \
	:: a_live[i] -> a_live[i] = 0 /* the router dies */ \
	:: k_frozen && ANSWERS(i) && !k_proved[i] -> prove(i)

#ifdef BUG_LEASE_RESEND
/* A reply that arrives again is taken again. */
#define TAKES_REPLY(i) (reply_sequence[i] > 0 && reply_sequence[i] == a_asked[i] && a_holds[i] < 2)
#else
#define TAKES_REPLY(i) (reply_sequence[i] > a_granted[i] && reply_sequence[i] == a_asked[i])
#endif

init {
	a_live[0] = 1;
	paired = 1;
	k_life[0] = REGISTERED;
	m_life[0] = REGISTERED;
	do
	/* operators */
#ifdef BUG_MINT_TWICE
	:: k_minted <= PAID0 -> top_up(); check()
#else
	:: !k_top_up -> top_up(); check()
#endif
#if PAID1 > 0
	:: z_minted == 0 -> d_step { z_minted = PAID1; z_unspent = z_unspent + PAID1; paid = paid + PAID1 }
#endif
	/* router A */
	INCARNATION(0, 0)
	INCARNATION(0, 1)
	INCARNATION(1, 1) /* a retry */
#ifdef LARGE
	INCARNATION(1, 2)
#endif
#ifdef PRUNE
	:: MAY_AGE(0) -> age(0)
	:: MAY_AGE(1) -> age(1)
	:: MAY_PRUNE(0) -> prune(0); check()
	:: MAY_PRUNE(1) -> prune(1); check()
#endif
	INCARNATION_LEASES(0)
	INCARNATION_LEASES(1)
	:: !a_started -> d_step { a_started = 1; a_live[1] = 1 }
	:: a_started && k_life[1] == UNKNOWN -> register_newer()
#ifdef SIBLING
	/* C leases and spends in one step; it lives on and keeps its charge */
	:: !k_frozen && k_unspent > 0 && !c_spent ->
		d_step { k_unspent--; k_bill[2] = C; c_spent = 1; done[2] = 1; commit() }
#endif
	/* the fence of A0, when it is silent */
	:: k_life[0] == REGISTERED -> fence()
	:: k_life[0] == FENCED && !m_fenced[0] -> m_fenced[0] = 1
	:: MAY_RETURN(0) -> return_remainder(0)
	/* the copy, the loss and the proof */
#ifdef BUG_SOLO_UNMARKED
	:: paired -> paired = 0
#else
	:: paired -> d_step { paired = 0; marked = 1 }
#endif
	:: !paired -> d_step { copy_rows(); paired = 1; if :: !k_frozen -> marked = 0 :: else fi }
	:: k_losses < LOSSES -> lose_disk()
	:: k_frozen && (ALL_PROVED || COPY_COMPLETE) -> release()
	/* transfers */
	:: !k_frozen && k_given == 0 && k_unspent > 0 && MAY_GIVE ->
		d_step { k_given = 1; k_unspent--; sent = 1; commit() }
#ifdef BUG_TRANSFER_TWICE
	:: sent && z_unspent < 2 -> d_step { z_received = 1; z_unspent++ }; check()
#else
	:: sent && !z_received -> d_step { z_received = 1; z_unspent++ }; check()
#endif
	/* router B */
	:: !z_bill[0] && z_unspent > 0 && !SETTLED(0) -> d_step { z_unspent--; z_bill[0] = 1; done[0] = 1 }; check()
#ifndef BUG_BILL_TWICE
	:: z_bill[0] && SETTLED(0) -> settle(0); check()
#endif
	:: check(); heal(); break
	od
}
