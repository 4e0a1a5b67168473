/*
 * The budget protocol of one workspace across two availability zones.
 *
 * Zone 0 has a keeper K whose disk may be lost, and a router A with two
 * incarnations (0 and 1) that may both be alive: the first may be frozen and
 * wake up. Zone 1's keeper mirrors K's vault, witnesses A's charges when K is
 * out of reach, and has a router B of its own.
 *
 * The network: a message that was sent may be delivered never, late, twice
 * and in any order, so each message is a bit that is never taken back. A cut
 * is a stretch without deliveries, a frozen process one without steps, and a
 * crash between a write and its reply is a reply that is never delivered: all
 * three are behaviours of this model without variables of their own. K writes
 * its rows in one commit before it replies; REPLY_BEFORE_SYNC shows why.
 *
 * Every request costs one token. Each BUG_ flag is one seeded mistake; an
 * assertion must fail with it, see scripts/spec.sh. A REACH_ flag shows that
 * a state is reached at all, again by an assertion that must fail.
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
byte k_bill[REQUESTS]; /* 0, or 1 + the incarnation that was billed */
bool k_proved[2];
byte k_losses;

/* The mirror's copy of K's rows, and its own rows as witness. */
bool m_top_up;
byte m_minted;
byte m_given;
byte m_leased[2];
byte m_sequence[2];
byte m_life[2];
byte m_bill[REQUESTS];
bool m_fenced[2];
bool m_witnessed[6]; /* incarnation * REQUESTS + request */

/* Router A; its state is volatile. */
bool a_live[2];
byte a_holds[2]; /* leased rights that no request has reserved */
byte a_asked[2]; /* sequence of the last lease request sent */
byte a_granted[2]; /* sequence of the last lease reply taken */
byte a_request[6];

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

#define BILLS (1 * (k_bill[0] != 0) + 1 * (k_bill[1] != 0) + 1 * (k_bill[2] != 0))
#define SPENT (done[0] + done[1] + done[2])
#define HANDED_OVER(i) \
	((!m_witnessed[AT(i, 0)] || k_bill[0]) && \
	 (!m_witnessed[AT(i, 1)] || k_bill[1]) && \
	 (!m_witnessed[AT(i, 2)] || k_bill[2]))
#define PROVED(i) (k_life[i] == UNKNOWN || k_life[i] == RETURNED || k_proved[i])

/* The invariants of every state. */
inline check() {
	d_step {
		/* completed spend <= minted */
		assert(SPENT <= paid);
		/* a resent top-up counts once */
		assert(k_minted <= PAID0);
		/* rights exist once: unspent + leased + charged + in transfer */
		assert(k_frozen || k_minted + z_minted ==
			k_unspent + k_leased[0] + k_leased[1] + BILLS + (k_given - z_received) +
			z_unspent + z_bill[0] + z_bill[1] + z_bill[2]);
	}
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
		reply_sequence[i] = a_asked[i];
	}
}

#ifdef BUG_LEASE_UNREGISTERED
#define MAY_LEASE(i) (k_life[i] == REGISTERED)
#else
/* The mirror knows the incarnation, so a restored keeper will ask it. */
#define MAY_LEASE(i) (k_life[i] == REGISTERED && m_life[i] >= REGISTERED)
#endif

/* Bill request q to incarnation i, from its lease where it has one. */
inline bill(i, q) {
	k_bill[q] = i + 1;
	if
	:: k_leased[i] > 0 -> k_leased[i]--
	:: else -> k_unspent--
	fi
}

#ifdef BUG_FENCED_SEES_BILL
/* A fenced incarnation completes on the bill of another. */
#define BILLED_FOR(i, q) (k_bill[q] != 0)
#else
#define BILLED_FOR(i, q) (k_bill[q] != 0 && k_life[i] < FENCED)
#endif

#ifdef BUG_LATE_CHARGE
/* The request ran, so it is billed although its incarnation was fenced. */
#define MAY_BILL(i, q) (k_bill[q] == 0)
#else
#define MAY_BILL(i, q) (k_bill[q] == 0 && k_life[i] < FENCED && k_leased[i] > 0)
#endif

/* The charge of request q arrives at K from incarnation i. */
inline charge(i, q) {
	d_step {
		if
		:: BILLED_FOR(i, q) -> answer(i, q, DURABLE)
		:: !BILLED_FOR(i, q) && MAY_BILL(i, q) ->
			bill(i, q);
			answer(i, q, DURABLE)
		:: else -> answer(i, q, REFUSED)
		fi
	}
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
		:: k_bill[q] == 0 -> bill(i, q)
		:: else
		fi
	}
}

inline copy_to_mirror() {
	d_step {
		m_top_up = k_top_up;
		m_minted = k_minted;
		m_given = k_given;
		m_leased[0] = k_leased[0]; m_leased[1] = k_leased[1];
		m_sequence[0] = k_sequence[0]; m_sequence[1] = k_sequence[1];
		m_life[0] = k_life[0]; m_life[1] = k_life[1];
		m_bill[0] = k_bill[0]; m_bill[1] = k_bill[1]; m_bill[2] = k_bill[2];
	}
}

#define COPY_BEHIND (m_minted != k_minted || m_given != k_given || \
	m_leased[0] != k_leased[0] || m_leased[1] != k_leased[1] || \
	m_sequence[0] != k_sequence[0] || m_sequence[1] != k_sequence[1] || \
	m_life[0] != k_life[0] || m_life[1] != k_life[1] || \
	m_bill[0] != k_bill[0] || m_bill[1] != k_bill[1] || m_bill[2] != k_bill[2])

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
		k_proved[0] = 0; k_proved[1] = 0;
#ifndef BUG_RESTORE_FENCE_FORGOTTEN
		/* The remainder of an incarnation that the mirror fenced may have
		   been returned and leased again: it must not spend any more. */
		if :: m_fenced[0] && k_life[0] == REGISTERED -> k_life[0] = FENCED :: else fi;
#endif
		k_unspent = k_minted - k_given - k_leased[0] - k_leased[1] - BILLS;
#ifndef BUG_RESTORE_UNFROZEN
		k_frozen = 1;
#endif
	}
}

/*
 * Incarnation i tells the restored K what it holds and which charges it
 * keeps. From then on it takes no reply of the earlier K: a charge without a
 * reply is sent again.
 */
inline prove(i) {
	d_step {
		prove_request(i, 0);
		prove_request(i, 1);
		prove_request(i, 2);
		k_leased[i] = a_holds[i] + (a_request[AT(i, 0)] == CHARGING) +
			(a_request[AT(i, 1)] == CHARGING) + (a_request[AT(i, 2)] == CHARGING);
#ifndef BUG_PROOF_OLD_REPLY
		a_asked[i] = a_granted[i];
		reply_sequence[i] = 0;
#endif
		k_sequence[i] = a_granted[i];
		k_proved[i] = 1;
	}
}

inline prove_request(i, q) {
	if
	:: a_request[AT(i, q)] == COMPLETED && k_bill[q] == 0 -> k_bill[q] = i + 1
	:: a_request[AT(i, q)] == DURABLE -> a_request[AT(i, q)] = CHARGING
	:: else
	fi
}

inline release() {
	d_step {
#ifdef REACH_RELEASE
		assert(0);
#endif
		k_frozen = 0;
		k_unspent = k_minted - k_given - k_leased[0] - k_leased[1] - BILLS;
	}
}

inline return_remainder(i) {
	d_step {
		k_unspent = k_unspent + k_leased[i];
		k_leased[i] = 0;
		k_life[i] = RETURNED;
	}
}

#ifdef BUG_FENCE_NO_MIRROR
#define MAY_RETURN(i) (k_life[i] == FENCED)
#elif defined(BUG_FENCE_NO_HANDOVER)
#define MAY_RETURN(i) (k_life[i] == FENCED && m_fenced[i])
#else
#define MAY_RETURN(i) (k_life[i] == FENCED && m_fenced[i] && HANDED_OVER(i))
#endif

#ifdef BUG_GIVE_UNPAIRED
#define TRANSFER_SENT (k_given)
#else
/* A transfer leaves only once the mirror has its record. */
#define TRANSFER_SENT (m_given)
#endif

#ifdef BUG_SETTLE_ONE_DISK
#define SETTLED(q) (k_bill[q] && !k_frozen)
#else
/* A bill crosses zones only once two disks have it. */
#define SETTLED(q) (m_bill[q])
#endif

/* Both zones billed request q: zone 0's bill counts, zone 1's returns. */
inline settle(q) {
	d_step {
#ifdef REACH_SETTLE
		assert(0);
#endif
		z_bill[q] = 0;
		z_unspent++;
	}
}

/* No more faults: every message arrives, A is fenced, the books settle. */
inline heal() {
	d_step {
		if :: k_frozen && k_life[0] != RETURNED && a_live[0] && !k_proved[0] -> prove(0) :: else fi;
		if :: k_frozen && k_life[1] != RETURNED && a_live[1] && !k_proved[1] -> prove(1) :: else fi;
		if :: k_frozen && PROVED(0) && PROVED(1) -> release() :: else fi;
	}
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
			copy_to_mirror();
			if :: m_given && !z_received -> z_received = 1; z_unspent++ :: else fi;
#ifndef BUG_BILL_TWICE
			if :: z_bill[0] && SETTLED(0) -> settle(0) :: else fi;
#endif
		}
		d_step {
			/* a request is billed at most once after the heal */
			assert(!(k_bill[0] && z_bill[0]));
			/* a completed request is billed */
			assert(!done[0] || k_bill[0] || z_bill[0]);
			assert(!done[1] || k_bill[1]);
			assert(!done[2] || k_bill[2]);
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
	:: a_live[i] && a_request[AT(i, q)] == IDLE && a_holds[i] > 0 -> \
		d_step { a_holds[i]--; a_request[AT(i, q)] = CHARGING } \
	:: a_request[AT(i, q)] >= CHARGING && !k_frozen -> charge(i, q) \
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
	:: a_asked[i] > a_granted[i] && !k_frozen && MAY_LEASE(i) && \
		(a_asked[i] <= k_sequence[i] || k_unspent > 0) && reply_sequence[i] != a_asked[i] -> lease(i) \
	:: a_live[i] && TAKES_REPLY(i) -> \
		d_step { a_granted[i] = reply_sequence[i]; a_holds[i]++ } \
	:: a_live[i] -> a_live[i] = 0 /* the router dies */ \
	:: k_frozen && a_live[i] && !k_proved[i] && k_life[i] != RETURNED && k_life[i] != UNKNOWN -> prove(i)

#ifdef BUG_LEASE_RESEND
/* A reply that arrives again is taken again. */
#define TAKES_REPLY(i) (reply_sequence[i] > 0 && reply_sequence[i] == a_asked[i] && a_holds[i] < 2)
#else
#define TAKES_REPLY(i) (reply_sequence[i] > a_granted[i] && reply_sequence[i] == a_asked[i])
#endif

init {
	a_live[0] = 1;
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
	INCARNATION_LEASES(0)
	INCARNATION_LEASES(1)
	:: k_life[1] == UNKNOWN && !k_frozen && !a_live[1] && a_asked[1] == 0 ->
		d_step { a_live[1] = 1; k_life[1] = REGISTERED }
	/* the fence of A0, once A1 has come */
	:: k_life[0] == REGISTERED && k_life[1] == REGISTERED && !k_frozen -> k_life[0] = FENCED
	:: k_life[0] == FENCED && !m_fenced[0] -> m_fenced[0] = 1
	:: MAY_RETURN(0) && !k_frozen -> return_remainder(0)
	/* the copy, the loss and the proof */
	:: !k_frozen && COPY_BEHIND -> copy_to_mirror()
	:: k_losses < LOSSES -> lose_disk()
	:: k_frozen && PROVED(0) && PROVED(1) -> release()
	/* transfers */
	:: !k_frozen && k_given == 0 && k_unspent > 0 -> d_step { k_given = 1; k_unspent-- }
#ifdef BUG_TRANSFER_TWICE
	:: TRANSFER_SENT && z_unspent < 2 -> d_step { z_received = 1; z_unspent++ }; check()
#else
	:: TRANSFER_SENT && !z_received -> d_step { z_received = 1; z_unspent++ }; check()
#endif
	/* router B */
	:: !z_bill[0] && z_unspent > 0 && !SETTLED(0) -> d_step { z_unspent--; z_bill[0] = 1; done[0] = 1 }; check()
#ifndef BUG_BILL_TWICE
	:: z_bill[0] && SETTLED(0) -> settle(0); check()
#endif
	:: check(); heal(); break
	od
}
