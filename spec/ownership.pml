/*
 * Ownership of one shard by one of two servers: grants, fences, moves, leader
 * terms, pauses, server freezes and restarts (docs/design.md, section 4,
 * Grants).
 *
 * leadership.pml shows that leaderships do not overlap in time and that their
 * fences grow. This model takes that as given: leaderships form a sequence of
 * terms, and a term begins only when the support of the term before has
 * expired or was released. A pause, a frozen server and a lost message are
 * steps that are not taken; grants of a paused or former leader stay in flight
 * and arrive at any later time.
 *
 * Queries and revokes are handled in one step, with or without the reply.
 * Grants travel through the slots of the network.
 */

#ifndef K
#define K 2             /* terms */
#endif
#ifndef Q
#define Q 3             /* fences per term */
#endif
#ifndef R
#define R 1             /* restarts per server */
#endif
#ifndef P
#define P 2             /* support promise (800 ms) */
#endif
#ifndef X
#define X 1             /* grant end after the support end (500 ms) */
#endif
#ifndef E
#define E 2             /* longest exchange with clock error, longer than X */
#endif
#ifndef M
#define M 2             /* grants in flight */
#endif

#define GRANT   1
#define EXTEND  2
#define NONE    2       /* no server */
#define FENCE   (term * 8 + seq)

/* Leader of the current term. */
byte term = 1;
byte seq;               /* fences used in this term */
byte s = P;             /* rest of the support */
byte er;                /* rest of the support of earlier terms that were released */
byte bw;                /* rest of the wait after which all grants of earlier terms have ended */
bool st[2];             /* the server answered in this term */
bool lh[2];             /* the server reported an unexpired grant of an earlier term */
byte lg[2];             /* end of the grants that this term sent to the server */
byte linc[2];           /* incarnation of the server that answered */
byte owner = NONE;      /* server to which this term last granted the shard */
byte ofence;            /* fence of that grant */

/* Servers. */
byte inc[2];            /* incarnation */
byte g[2];              /* rest of the grant, 0 if none */
byte hf[2];             /* largest fence seen */
byte req[2];            /* request: 0 none, 1 started under the present grant, 2 under an earlier one */
bool other[2];          /* a request took effect at the other server since this one started */

/* Network. */
byte mk[M];             /* kind, 0 if the slot is free */
byte md[M];             /* server */
byte mf[M];             /* fence */
byte mi[M];             /* incarnation */
byte mr[M];             /* rest of the duration, counted from the tick of the server */

#ifdef NOFENCE
/* Requests to servers that do not check fences. */
byte q[2];              /* rest of the time in which a sent request can take effect */
byte lq[2];             /* the same, for requests sent by this term */
byte ew;                /* rest of the wait for requests of earlier terms */
#ifdef WEAK_NOT_AFTER_IGNORED
byte pend = NONE;       /* server of a request that was checked and not yet sent */
#endif
#endif

hidden byte i;

#define MAX(a,b) ((a) > (b) -> (a) : (b))

/* Server x holds no grant and can accept none that is in flight. */
#define NO_GRANT(x) (lg[x] == 0 && ((st[x] && !lh[x]) || bw == 0))
#ifndef NOFENCE
#define FREE(x) NO_GRANT(x)
#elif defined(NOFENCE_DESIGN)
/* Waits for the longest exchange only if the server did not acknowledge to a new leader. */
#define FREE(x) (lg[x] == 0 && ((st[x] && !lh[x]) || (bw == 0 && ew == 0)))
#elif defined(NOFENCE_OWN_WAIT)
/* As before, and waits for the requests of the own term. */
#define FREE(x) (lg[x] == 0 && lq[x] == 0 && ((st[x] && !lh[x]) || (bw == 0 && ew == 0)))
#else
#define FREE(x) (NO_GRANT(x) && lq[x] == 0 && ew == 0)
#endif

inline lose_grant(x) {
    g[x] = 0;
    req[x] = (req[x] == 1 -> 2 : req[x])
}

inline send(kind, x) {
    i = 0;
    do
    :: mk[i] != 0 -> i++
    :: else -> break
    od;
    mk[i] = kind;
    md[i] = x;
    mf[i] = ofence;
    mi[i] = linc[x];
#ifdef WEAK_GRANT_UNBOUNDED
    mr[i] = P + X + 1;
#else
    mr[i] = s + X;
#endif
#ifdef WEAK_IGNORE_OWN_EXTENSION
    lg[x] = (kind == EXTEND -> lg[x] : MAX(lg[x], mr[i]));
#else
    lg[x] = MAX(lg[x], mr[i]);
#endif
    i = 0
}

#if M == 1
#define SLOT (mk[0] == 0)
#else
#define SLOT (mk[0] == 0 || mk[1] == 0)
#endif

/* Server x processes a query of the leader. Its reply may be lost. */
inline query(x) {
#ifndef WEAK_QUERY_WITHOUT_FENCE
    hf[x] = MAX(hf[x], term * 8);
#endif
    if
    :: st[x] && linc[x] != inc[x] ->
        /* Grants of the earlier incarnation are void. */
        lg[x] = 0;
        lh[x] = false;
        owner = (owner == x -> NONE : owner);
        ofence = (owner == NONE -> 0 : ofence)
    :: !st[x] -> lh[x] = (g[x] > 0)
    :: else -> lh[x] = lh[x] && g[x] > 0
    fi;
    st[x] = true;
    linc[x] = inc[x]
}

inline revoke(x) {
#ifndef WEAK_REVOKE_WITHOUT_FENCE
    hf[x] = MAX(hf[x], FENCE);
#endif
    lose_grant(x)
}

#ifdef WEAK_ACK_WHILE_RUNNING
#define MAY_ACK(x) true
#else
#define MAY_ACK(x) (req[x] == 0)
#endif

#ifdef WEAK_NO_GRANT_FENCE
#define FENCE_OK(x,k) true
#else
#define FENCE_OK(x,k) (mf[k] >= hf[x])
#endif
#ifdef WEAK_OLD_INCARNATION
#define INC_OK(x,k) true
#else
#define INC_OK(x,k) (mi[k] == inc[x])
#endif
#ifdef WEAK_EXTEND_ALWAYS
#define KIND_OK(x,k) true
#else
#define KIND_OK(x,k) (mk[k] == GRANT || g[x] > 0)
#endif

inline deliver(k) {
    i = md[k];
    if
    :: INC_OK(i,k) && FENCE_OK(i,k) && KIND_OK(i,k) ->
        g[i] = MAX(g[i], mr[k]);
        hf[i] = MAX(hf[i], mf[k]);
        assert(g[1-i] == 0);
#ifdef REACH_MOVE_AFTER_X
        /* The second term moves the shard from a server that does not answer. */
        assert(!(term == 2 && i == 1 && hf[0] >= 8 && hf[0] < 16));
#endif
#ifdef REACH_EXTENDED
        assert(mk[k] != EXTEND);
#endif
#ifdef REACH_AFTER_RESTART
        assert(inc[i] == 0);
#endif
    :: else
    fi;
    clear(k);
    i = 0
}

inline clear(k) {
    mk[k] = 0; md[k] = 0; mf[k] = 0; mi[k] = 0; mr[k] = 0
}

/* A request takes effect at server x: no other server may be able to req one. */
inline effect(x) {
    assert(g[1-x] == 0);
    assert(!other[x]);
    other[1-x] = (req[1-x] != 0);
    req[x] = 0;
    other[x] = false
}

#ifdef WEAK_NO_COMMIT_CHECK
#define MAY_COMMIT(x) (req[x] != 0)
#elif defined(WEAK_COMMIT_UNDER_ANY_GRANT)
#define MAY_COMMIT(x) (req[x] != 0 && g[x] > 0)
#else
#define MAY_COMMIT(x) (req[x] == 1 && g[x] > 0)
#endif

#ifdef WEAK_QUERY_WITHOUT_FENCE
#define QUERY_LOST(x)
#else
#define QUERY_LOST(x) :: d_step { s > 0 && hf[x] < term * 8 -> hf[x] = term * 8 }
#endif

#define LEADER(x) \
    :: d_step { s > 0 && (!st[x] || linc[x] != inc[x] || (lh[x] && g[x] == 0)) -> query(x) } \
    QUERY_LOST(x) \
    :: d_step { s > 0 && st[x] && SLOT && owner == x && lg[x] < s + X && FREE(1-x) -> send(GRANT, x) } \
    :: d_step { s > 0 && st[x] && SLOT && owner != x && seq < Q && FREE(1-x) -> \
            seq++; owner = x; ofence = FENCE; send(GRANT, x) } \
    :: d_step { s > 0 && st[x] && lh[x] && SLOT && owner == NONE && seq < Q && bw > 0 -> \
            seq++; owner = x; ofence = FENCE; send(EXTEND, x) } \
    :: d_step { s > 0 && st[x] && SLOT && owner == x && lh[x] && lg[x] < s + X && bw > 0 -> send(EXTEND, x) } \
    :: d_step { s > 0 && MAY_ACK(x) && g[x] > 0 && seq < Q -> seq++; revoke(x) } \
    :: d_step { s > 0 && MAY_ACK(x) && st[x] && linc[x] == inc[x] && (lg[x] > 0 || lh[x]) && seq < Q -> \
            seq++; revoke(x); lg[x] = 0; lh[x] = false; \
            owner = (owner == x -> NONE : owner); ofence = (owner == NONE -> 0 : ofence) }

#ifdef WEAK_GRANT_SURVIVES_RESTART
#define RESTART(x) :: d_step { inc[x] < R -> inc[x]++; hf[x] = 0; req[x] = 0; other[x] = false }
#else
#define RESTART(x) :: d_step { inc[x] < R -> inc[x]++; g[x] = 0; hf[x] = 0; req[x] = 0; other[x] = false }
#endif

#ifndef NOFENCE
#define REQUEST(x) \
    :: d_step { req[x] == 0 && g[x] > 0 -> req[x] = 1 } \
    :: d_step { MAY_COMMIT(x) -> effect(x) } \
    :: d_step { req[x] != 0 -> req[x] = 0; other[x] = false }
#else
#ifdef WEAK_NOT_AFTER_IGNORED
#define CHECK_AND_SEND(x) \
    :: d_step { s > 0 && owner == x && lg[x] > 0 && pend == NONE -> pend = x; lq[x] = E } \
    :: d_step { pend == x -> pend = NONE; q[x] = E; assert(q[1-x] == 0) }
#else
#define CHECK_AND_SEND(x) \
    :: d_step { s > 0 && owner == x && lg[x] > 0 && q[x] < E -> q[x] = E; lq[x] = E; assert(q[1-x] == 0) }
#endif
#define REQUEST(x) \
    CHECK_AND_SEND(x) \
    :: d_step { q[x] > 0 -> q[x] = 0; lq[x] = 0 }
#endif

#define NETWORK(k) \
    :: d_step { mk[k] != 0 -> deliver(k) } \
    :: d_step { mk[k] != 0 -> clear(k) }

#define DECREASE(v) v = (v > 0 -> v - 1 : 0)

#ifdef WEAK_NO_X_WAIT
#define START_WAIT 0
#elif defined(RELEASE_DESIGN)
#define START_WAIT X
#else
#define START_WAIT (er + X)
#endif

inline next_term() {
    term++;
    s = P; seq = 0;
    bw = START_WAIT;
    st[0] = false; st[1] = false;
    lh[0] = false; lh[1] = false;
    lg[0] = 0; lg[1] = 0;
    linc[0] = 0; linc[1] = 0;
    owner = NONE; ofence = 0;
#ifdef NOFENCE
    lq[0] = 0; lq[1] = 0;
    ew = E;
#endif
}

active proctype System() {
    /* Nothing is granted before the first term. */
    st[0] = true; st[1] = true;
    do
    LEADER(0)
    LEADER(1)
    REQUEST(0)
    REQUEST(1)
#if R > 0
    RESTART(0)
    RESTART(1)
#endif
    NETWORK(0)
#if M > 1
    NETWORK(1)
#endif
    :: d_step { s > 0 && s < P -> s = P }
    :: d_step { s == 0 && term < K -> next_term() }
#ifdef RELEASE
    :: d_step { s > 0 && term < K -> er = MAX(er, s); s = 0 }
#endif
    :: d_step { true ->
            DECREASE(s);
            DECREASE(er);
            DECREASE(bw);
            DECREASE(lg[0]);
            DECREASE(lg[1]);
            i = 0;
            do
            :: i < 2 ->
                if
                :: g[i] == 1 -> lose_grant(i)
                :: else -> DECREASE(g[i])
                fi;
                i++
            :: else -> break
            od;
#ifndef WEAK_COUNT_FROM_ARRIVAL
            i = 0;
            do
            :: i < M ->
                DECREASE(mr[i]);
                if
                :: mk[i] != 0 && mr[i] == 0 -> clear(i)
                :: else
                fi;
                i++
            :: else -> break
            od;
#endif
#ifdef NOFENCE
            DECREASE(q[0]);
            DECREASE(q[1]);
            DECREASE(lq[0]);
            DECREASE(lq[1]);
            DECREASE(ew);
#endif
            i = 0
        }
    od
}
