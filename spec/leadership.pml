/*
 * Leadership of one partition of one cell: member lists, support, terms,
 * modes and the log bound (docs/design.md, section 4).
 *
 * Every message may be lost or delayed and every host may stop for any time,
 * because no step is ever forced except the passing of time. A log outage, a
 * network partition, a pause and a lost host are therefore all covered by
 * steps that are not taken. A restarted host is a new host identifier.
 *
 * Timers count down by one per tick. Defines that start with WEAK_ remove a
 * rule and must be caught; defines that start with REACH_ claim that a
 * situation never occurs and must be refuted.
 */

#ifndef H
#define H 3             /* hosts */
#endif
#ifndef V
#define V 2             /* member lists, numbered from 1 */
#endif
#ifndef T
#define T 2             /* terms per list, numbered from 1 */
#endif
#ifndef P
#define P 1             /* support promise (800 ms) */
#endif
#ifndef L
#define L 2             /* log bound (3 s), longer than P */
#endif
#ifndef FIRST
#define FIRST 7         /* members of list 1, as a bit mask */
#endif

#ifndef DEAD
#define DEAD 0          /* hosts that never act, as a bit mask */
#endif
#ifndef LOST1
#define LOST1 0         /* members of list 1 that recorded lost at the start */
#endif

#define BIT(h)      (1 << (h))
#if H == 4
#define ONES(m)     (((m)&1) + (((m)>>1)&1) + (((m)>>2)&1) + (((m)>>3)&1))
#define SUPSET(l)   ((sup[(l)*H]>0) | ((sup[(l)*H+1]>0)<<1) | ((sup[(l)*H+2]>0)<<2) | ((sup[(l)*H+3]>0)<<3))
#else
#define ONES(m)     (((m)&1) + (((m)>>1)&1) + (((m)>>2)&1))
#define SUPSET(l)   ((sup[(l)*H]>0) | ((sup[(l)*H+1]>0)<<1) | ((sup[(l)*H+2]>0)<<2))
#endif
#define MAJ(m)      (ONES(m)/2 + 1)
/* Size from which every set of members intersects every majority. */
#define CUT(m)      (ONES(m) - MAJ(m) + 1)

byte cur = 1;           /* latest list in the log */
byte memb[V+1];         /* members of each list */
byte lost[V+1];         /* members that recorded lost */
byte pledged[V+1];      /* members that pledged */
bool pnormal[V+1];      /* a member pledged in mode normal */
#ifdef RELEASE
byte rel[V+1];          /* terms released by their leader */
#endif
#ifdef WEAK_READ_ACKED_ONLY
bool acked[V+1];        /* the append of the list was acknowledged */
#endif

byte known[H];          /* latest list that the host has read */
byte rd[H];             /* rest of L since the send of the last read that showed known as the latest list */
byte pt[H];             /* highest term supported in list known */
byte pr[H];             /* rest of the promise, by the member's count */
byte ct[H];             /* term for which the host has support, 0 if none */
#if V > 2
byte pu[H];             /* list of the outstanding promise, 0 if none */
#endif
byte sup[H*H];          /* rest of each member's support, by the leader's count */
byte wait2[H];          /* rest of L since the host read list 2 or later */
#if V > 2
byte wait3[H];          /* rest of L since the host read list 3 or later */
#endif
#ifdef FENCES
byte maxf;              /* largest (list, term) that has led */
#endif

#ifdef RELAY
byte relv;              /* list shown by the relayed read in flight, 0 if none */
byte relr;              /* rest of L that it grants */
#endif

hidden byte i, j, m, n;

/*
 * Members of list u that have read a later list and whose promises under u
 * have expired. Both facts are stable, so a leader that learns them at once
 * has every behaviour of one that learns them from its supporters.
 */
#if V > 2
#define GONE1(h,u)  ((known[h] > u && pu[h] != u) << (h))
#else
#define GONE1(h,u)  ((known[h] > u && (pr[h] == 0 || pt[h] > 0)) << (h))
#endif
#if H == 4
#define GONE(u)     (GONE1(0,u) | GONE1(1,u) | GONE1(2,u) | GONE1(3,u))
#else
#define GONE(u)     (GONE1(0,u) | GONE1(1,u) | GONE1(2,u))
#endif
#ifdef WEAK_NO_LIST_WAIT
#define OVER(l,u,w) true
#else
#define OVER(l,u,w) (known[l] <= u || w[l] == 0 || ONES(GONE(u) & memb[u]) >= CUT(memb[u]))
#endif
#if V > 2
#define ALL_OVER(l) (OVER(l,1,wait2) && OVER(l,2,wait3))
#else
#define ALL_OVER(l) OVER(l,1,wait2)
#endif

#define LEADS(l)    (ct[l] > 0 && ONES(SUPSET(l)) >= MAJ(memb[known[l]]) && ALL_OVER(l))
#define FENCE(l)    (known[l]*16 + ct[l])

/* All members of the host's list recorded lost and the host did not pledge. */
#ifdef WEAK_LOST_ALONE
#define ALL_LOST(h) (lost[known[h]] & BIT(h))
#else
#define ALL_LOST(h) (lost[known[h]] == memb[known[h]])
#endif
#ifdef WEAK_PLEDGE_UNLIMITED
#define FREE_OF_L(h) (known[h] == V || ALL_LOST(h))
#else
#define FREE_OF_L(h) (known[h] == V || (ALL_LOST(h) && !(pledged[known[h]] & BIT(h))))
#endif

/* At most one host leads, and the fences of leaders only grow. */
inline check_leaders() {
    i = 0;
    do
    :: i < H ->
        if
        :: LEADS(i) ->
#ifdef FENCES
            assert(FENCE(i) >= maxf);
            maxf = FENCE(i);
#endif
            j = i + 1;
            do
            :: j < H -> assert(!LEADS(j)); j++
            :: else -> break
            od;
#ifdef REACH_LIST2
            assert(known[i] < 2);
#endif
#ifdef REACH_LIST3
            assert(known[i] < 3);
#endif
#ifdef REACH_TERM3
            assert(ct[i] < 3);
#endif
#ifdef REACH_AUTONOMY
            assert(!(known[i] == 1 && ALL_LOST(i) && rd[0] == 0 && rd[1] == 0 && rd[2] == 0));
#endif
#ifdef REACH_LIST2_EARLY
            /* The new list rule is met by supporters, without waiting for L. */
            assert(!(known[i] == 2 && wait2[i] > 0));
#endif
#ifdef REACH_AFTER_LOST
            /* A list that went through mode lost has been replaced. */
            assert(!(known[i] == 2 && lost[1] == memb[1]));
#endif
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0; j = 0; n = 0; m = 0
}

inline stop_candidate(l) {
    ct[l] = 0;
    i = 0;
    do
    :: i < H -> sup[l*H+i] = 0; i++
    :: else -> break
    od;
    i = 0
}

/*
 * Wait of a leader of a new list. With APPEND_BEFORE_WAIT the wait starts only
 * at the acknowledgement of an append that the host sent after it read the
 * list; until then it does not run.
 */
#define NOT_STARTED 255
#ifdef APPEND_BEFORE_WAIT
#define WAIT NOT_STARTED
#elif defined(WEAK_WAIT_FROM_SEND)
/* Counts from the send of a read that took one tick. */
#define WAIT (L - 1)
#else
#define WAIT L
#endif

/* The host learns that v is the latest list, from a read with rest r of L. */
inline learn(h, v, r) {
    if
    :: v > known[h] ->
        if
        :: known[h] < 2 && v >= 2 && (v < V || (memb[v] & BIT(h))) -> wait2[h] = WAIT
        :: else
        fi;
#if V > 2
        if
        :: known[h] < 3 && v >= 3 && (memb[v] & BIT(h)) -> wait3[h] = WAIT
        :: else
        fi;
#endif
        known[h] = v;
        pt[h] = 0;
        rd[h] = (v < V && (memb[v] & BIT(h)) -> r : 0);
        stop_candidate(h)
    :: v == known[h] && v < V && (memb[v] & BIT(h)) && r > rd[h] -> rd[h] = r
    :: else
    fi
}

/* Leader of term t: members[t mod n], members ordered by host identifier. */
inline leader_of(v, t) {
    n = t % ONES(memb[v]);
    i = 0;
    do
    :: !(memb[v] & BIT(i)) -> i++
    :: (memb[v] & BIT(i)) && n > 0 -> n--; i++
    :: else -> break
    od;
    m = i; i = 0; n = 0
}

#ifdef WEAK_NO_PROMISE_WAIT
#define MAY_SWITCH(h) true
#else
#define MAY_SWITCH(h) (pr[h] == 0)
#endif

#define MAY_SUPPORT(l,h,t) (!(DEAD & BIT(h)) && known[h] == known[l] && (memb[known[l]] & BIT(h)) && (memb[known[l]] & BIT(l)) \
    && t >= ct[l] && ((t == pt[h] && MAY_RENEW(l,h,t)) || (t > pt[h] && MAY_SWITCH(h))))
#ifdef RELEASE
#define MAY_RENEW(l,h,t) !(rel[known[l]] & BIT(t))
#else
#define MAY_RENEW(l,h,t) true
#endif

/*
 * Member h answers a request of leader l that was sent d ticks ago. The
 * leader counts from the send; the member counts from receipt.
 */
inline support(l, h, t, d, limited) {
    leader_of(known[l], t);
    n = P;
    if
    :: limited && rd[h] < P -> n = rd[h]
    :: else
    fi;
    if
    :: n > d && m == l ->
        m = 0;
        if
        :: ct[l] != t -> stop_candidate(l); ct[l] = t
        :: else
        fi;
        pt[h] = t;
#if V > 2
        pu[h] = known[h];
#endif
#ifdef WEAK_COUNT_FROM_RECEIPT
        /* The reply takes d ticks; the leader counts from its receipt. */
        pr[h] = n - d;
        sup[l*H+h] = n;
#else
        pr[h] = (n > pr[h] -> n : pr[h]);
        sup[l*H+h] = (n-d > sup[l*H+h] -> n-d : sup[l*H+h]);
#endif
        check_leaders()
    :: else -> n = 0; m = 0
    fi
}

#define SUPPORT1(l,h,t,d) \
    :: d_step { known[h] < V && rd[h] > d && MAY_SUPPORT(l,h,t) -> support(l,h,t,d,true) } \
    :: d_step { FREE_OF_L(h) && MAY_SUPPORT(l,h,t) -> support(l,h,t,d,false) }
#if P > 1
#define SUPPORT2(l,h,t) SUPPORT1(l,h,t,0) SUPPORT1(l,h,t,1)
#else
#define SUPPORT2(l,h,t) SUPPORT1(l,h,t,0)
#endif
#if T == 1
#define SUPPORT(l,h) SUPPORT2(l,h,1)
#elif T == 2
#define SUPPORT(l,h) SUPPORT2(l,h,1) SUPPORT2(l,h,2)
#elif T == 3
#define SUPPORT(l,h) SUPPORT2(l,h,1) SUPPORT2(l,h,2) SUPPORT2(l,h,3)
#else
#define SUPPORT(l,h) SUPPORT2(l,h,1) SUPPORT2(l,h,2) SUPPORT2(l,h,3) SUPPORT2(l,h,4)
#endif


#ifdef WEAK_LOST_AFTER_PLEDGE
#define NOT_PLEDGED(h) true
#else
#define NOT_PLEDGED(h) !(pledged[known[h]] & BIT(h))
#endif
#define MAY_RECORD_LOST(h) (known[h] < V && (memb[known[h]] & BIT(h)) && !(lost[known[h]] & BIT(h)) && NOT_PLEDGED(h))

proctype Host(byte me) {
    do
    /* Reads the log. A read that is delayed is the same as one that is older. */
    :: d_step { known[me] < cur || (cur < V && (memb[cur] & BIT(me)) && rd[me] < L) -> learn(me, cur, L) }
#ifdef WEAK_READ_ACKED_ONLY
    /* A read may miss a record whose append was not acknowledged. */
    :: d_step { cur > 1 && !acked[cur] && known[me] < cur && rd[me] < L -> learn(me, cur-1, L) }
#endif
#ifdef APPEND_BEFORE_WAIT
    /* An acknowledged append makes every earlier record visible to later reads. */
    :: d_step { wait2[me] == NOT_STARTED -> wait2[me] = L; acked[cur] = true }
#endif
#ifdef RELAY
    :: d_step { relv == 0 && known[me] < V && rd[me] > 0 -> relv = known[me]; relr = rd[me] }
    :: d_step { relv > 0 && relr > 0 -> learn(me, relv, relr); relv = 0; relr = 0 }
#endif
    /* Records lost. Allowed after any time, not only after 1.5 s. */
    :: d_step { MAY_RECORD_LOST(me) -> lost[known[me]] = lost[known[me]] | BIT(me) }
    :: d_step { known[me] < V && known[me] == cur && (memb[known[me]] & BIT(me)) && !(pledged[known[me]] & BIT(me)) ->
            pledged[known[me]] = pledged[known[me]] | BIT(me);
            if
            :: !(lost[known[me]] & BIT(me)) -> pnormal[known[me]] = true
            :: else
            fi }
    /* A member answers the request of this host. */
    SUPPORT(me,0)
    SUPPORT(me,1)
    SUPPORT(me,2)
#if H > 3
    SUPPORT(me,3)
#endif
#ifdef RELEASE
    /* Stops leading and releases its term; members hear of it later or never. */
    :: d_step { LEADS(me) -> rel[known[me]] = rel[known[me]] | BIT(ct[me]);
            stop_candidate(me) }
    :: d_step { pr[me] > 0 && pt[me] > 0 && (rel[known[me]] & BIT(pt[me])) -> pr[me] = 0
#if V > 2
            ; pu[me] = 0
#endif
        }
#endif
#ifdef WEAK_RESTART_KEEPS_MEMBERSHIP
    /* A restarted host keeps its place in the list without its memory. */
    :: d_step { pr[me] > 0 -> pr[me] = 0; pt[me] = 0; stop_candidate(me) }
#endif
    od
}

/* The fold accepts the next list when its pledges suffice. */
#ifdef WEAK_ONE_LOST_PLEDGE
#define MAY_REPLACE (pledged[cur] != 0)
#elif defined(PLEDGE_MAJORITY)
#define MAY_REPLACE (pnormal[cur] || ONES(pledged[cur]) >= MAJ(memb[cur]))
#else
#define MAY_REPLACE (pnormal[cur] || ONES(pledged[cur]) >= CUT(memb[cur]))
#endif

#ifdef WEAK_READ_ACKED_ONLY
#define ACK if :: acked[cur] = true :: skip fi
#else
#define ACK skip
#endif
#define ACCEPT(mask) :: atomic { cur < V && MAY_REPLACE -> memb[cur+1] = mask; cur++; ACK }

active proctype Platform() {
    memb[1] = FIRST;
    atomic {
        known[0] = 1; known[1] = 1; known[2] = 1;
#if H > 3
        known[3] = 1;
#endif
        lost[1] = LOST1;
        if :: !(DEAD & 1) -> run Host(0) :: else fi;
        if :: !(DEAD & 2) -> run Host(1) :: else fi;
        if :: !(DEAD & 4) -> run Host(2) :: else fi;
#if H > 3
        if :: !(DEAD & 8) -> run Host(3) :: else fi;
#endif
    }
    do
#ifdef FEW_LISTS
#if H > 3
    ACCEPT(12)
#else
    ACCEPT(2) ACCEPT(4) ACCEPT(6)
#endif
#elif H > 3
    ACCEPT(8) ACCEPT(9) ACCEPT(12) ACCEPT(14) ACCEPT(6) ACCEPT(7)
#else
    ACCEPT(1) ACCEPT(2) ACCEPT(4) ACCEPT(3) ACCEPT(5) ACCEPT(6) ACCEPT(7)
#endif
    :: d_step { true ->
            i = 0;
            do
            :: i < H*H -> sup[i] = (sup[i] > 0 -> sup[i]-1 : 0); i++
            :: else -> break
            od;
            i = 0;
            do
            :: i < H ->
                rd[i] = (rd[i] > 0 -> rd[i]-1 : 0);
                pr[i] = (pr[i] > 0 -> pr[i]-1 : 0);
                wait2[i] = ((wait2[i] > 0 && wait2[i] != NOT_STARTED) -> wait2[i]-1 : wait2[i]);
                ct[i] = (SUPSET(i) -> ct[i] : 0);
#if V > 2
                wait3[i] = (wait3[i] > 0 -> wait3[i]-1 : 0);
                pu[i] = (pr[i] > 0 -> pu[i] : 0);
#endif
                i++
            :: else -> break
            od;
            i = 0
#if defined(RELAY) && !defined(WEAK_RELAY_AGE)
            ; relr = (relr > 0 -> relr-1 : 0);
            relv = (relr > 0 -> relv : 0)
#endif
        }
    od
}
