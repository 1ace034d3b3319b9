//! Quotas of tenants, one failure at a time.

use lovageplank_core::fleet::quota::{
    ANSWER_TIMEOUT_MS, Answer, Ask, BLOCK_MS, Block, Charge, Decision, Given, LEASE_MS, Ledger,
    Lender, Limit, Lot, Outcome, Policy, Pool, Reply, Reservation, Share,
};
use lovageplank_core::fleet::tenant::{Quota, Unit};
use lovageplank_core::prelude::*;

const POLICY: Policy = Policy {
    window_ms: 8_000,
    overage: 0.0,
    slack: 0,
};
const SESSION: u64 = 7;
const LINK: u64 = 3;
/// Units in a window.
const LIMIT: u64 = 10_000;
/// Longer than any lease and window counts.
const LONG_MS: Millis = 60_000;

fn pool() -> Pool {
    Pool {
        tenant: "north".into(),
        unit: Unit::Tokens,
    }
}

/// A leader and its log.
struct Leader {
    ledger: Ledger,
    lender: Lender,
    term: u64,
}

impl Leader {
    fn new(term: u64, ledger: Ledger) -> Leader {
        let mut lender = Lender::new(POLICY, term);
        lender.set_limits([(pool(), Limit(LIMIT))]);
        Leader {
            ledger,
            lender,
            term,
        }
    }

    fn first() -> Leader {
        Leader::new(1, Ledger::new(&POLICY))
    }

    /// Handles a message, and applies the entry that it leads to at once.
    fn ask(&mut self, now: Millis, ask: &Ask) -> Vec<Reply> {
        let mut replies = self.lender.ask(now, &self.ledger, LINK, ask);
        if let Some(reservation) = self.lender.proposal(now, &self.ledger, now) {
            self.ledger.apply(now, self.term, &reservation);
            replies.extend(self.lender.applied(now, &self.ledger, &reservation));
        }
        replies
    }

    fn used(&mut self, now: Millis) -> (u64, u64) {
        self.lender.tick(now, &self.ledger);
        let usage = self.lender.usage(now, &self.ledger);
        usage
            .first()
            .map_or((0, 0), |usage| (usage.used, usage.lent))
    }
}

fn waits(share: &mut Share, now: Millis, amount: u64) -> u64 {
    match share.charge(now, &pool(), amount) {
        Decision::Wait(number) => number,
        other => panic!("{other:?}"),
    }
}

/// Charges a request that has to ask.
fn charge(share: &mut Share, leader: &mut Leader, now: Millis, amount: u64) -> Charge {
    waits(share, now, amount);
    let ask = share.take_ask(now).expect("a message");
    let replies = leader.ask(now, &ask);
    let mut outcomes = share.answered(now, &replies[0].answer);
    match outcomes.pop() {
        Some((_, Outcome::Charged(charge))) => charge,
        other => panic!("{other:?}"),
    }
}

fn lots(numbers: &[u64], asked_at: Millis) -> Answer {
    let lot = |number: &u64| Lot {
        number: *number,
        amount: 100,
        asked_at,
    };
    Answer {
        session: SESSION,
        term: 1,
        given: vec![Given {
            pool: pool(),
            lots: numbers.iter().map(lot).collect(),
            again_ms: None,
        }],
    }
}

/// Guards against messages where no tenant has a quota.
#[test]
fn a_router_without_charges_sends_nothing() {
    let mut share = Share::new(SESSION);
    assert!(!share.has_ask(LONG_MS));
    assert_eq!(share.take_ask(LONG_MS), None);
    share.leader_changed();
    assert_eq!(share.take_ask(2 * LONG_MS), None);
}

/// Guards against a limit where there is none, and a bound that is computed wrongly.
#[test]
fn the_limit_is_that_of_the_quota_with_the_allowance() {
    let policy = Policy {
        window_ms: 8_000,
        overage: 0.1,
        slack: 17_000,
    };
    let mut quota = Quota {
        rate_per_s: 1_000,
        burst: 2_000,
        unit: Unit::Tokens,
        plain_tokens: 1,
    };
    assert_eq!(Limit::new(&quota, &policy), Some(Limit(28_000)));
    quota.rate_per_s = 0;
    assert_eq!(Limit::new(&quota, &policy), None);
}

/// Guards against requests that wait forever for a leader that is cut off, and against 429 for them.
#[test]
fn a_request_without_an_answer_ends_as_unknown() {
    let mut share = Share::new(SESSION);
    let number = waits(&mut share, 1_000, 100);
    assert!(share.take_ask(1_000).is_some());
    assert!(share.expire(1_000 + ANSWER_TIMEOUT_MS - 1).is_empty());
    let outcomes = share.expire(1_000 + ANSWER_TIMEOUT_MS);
    assert_eq!(outcomes, [(number, Outcome::Unknown)]);
}

/// Guards against a message that is lost on a link, and then a request that is refused although the leader could answer.
#[test]
fn a_message_is_repeated_while_a_request_waits() {
    let mut share = Share::new(SESSION);
    waits(&mut share, 1_000, 100);
    assert!(share.take_ask(1_000).is_some());
    assert_eq!(share.take_ask(1_010), None);
    assert!(share.take_ask(1_150).is_some());
}

/// Guards against use of a lot after the leader counts it as charged, and against lots that count twice.
#[test]
fn late_and_repeated_lots_are_not_used() {
    let mut share = Share::new(SESSION);
    waits(&mut share, 10_000, 100);
    share.take_ask(10_000);
    // Asked for so long ago that the lease is over.
    let late = share.answered(10_100, &lots(&[1], 10_100 - LEASE_MS));
    assert!(late.is_empty(), "{late:?}");
    assert_eq!(share.answered(10_100, &lots(&[1, 2], 10_000)).len(), 1);
    waits(&mut share, 10_200, 100);
    assert!(share.answered(10_200, &lots(&[1, 2], 10_000)).is_empty());
    // One of another process of the router.
    let mut other = lots(&[3], 10_200);
    other.session += 1;
    assert!(share.answered(10_200, &other).is_empty());
}

/// Guards against a repeated message that is granted twice, so that a lost answer costs the quota twice.
#[test]
fn a_repeated_message_gets_the_same_lots_again() {
    let (mut share, mut leader) = (Share::new(SESSION), Leader::first());
    waits(&mut share, 1_000, 500);
    let first = share.take_ask(1_000).expect("a message");
    let lost = leader.ask(1_000, &first);
    let again = share.take_ask(1_150).expect("a message");
    let replies = leader.ask(1_150, &again);
    assert_eq!(replies[0].answer.given, lost[0].answer.given);
    assert_eq!(leader.used(1_200), (0, 500));
    assert_eq!(share.answered(1_160, &replies[0].answer).len(), 1);
}

/// Guards against a charge that is lost with its router, and against one that counts twice when the report comes late.
#[test]
fn an_expired_lease_counts_as_charged_until_its_report_arrives() {
    let (mut share, mut leader) = (Share::new(SESSION), Leader::first());
    let charged = charge(&mut share, &mut leader, 1_000, 500);
    share.give_back(1_100, &charged);
    assert_eq!(leader.used(1_200), (0, 500));
    // The link is down meanwhile. As long as the router may charge, it counts as lent.
    assert_eq!(leader.used(1_000 + LEASE_MS), (0, 500));
    assert_eq!(leader.used(1_000 + LEASE_MS + 500), (500, 0));
    let now = 1_000 + LEASE_MS + 1_000;
    share.expire(now);
    let report = share.take_ask(now).expect("a report");
    leader.ask(now, &report);
    assert_eq!(leader.used(now + 100), (0, 0));
}

/// Guards against quota that is lost to requests that no server got, and against charges that are taken back although
/// the request was sent or the leader may count them as charged.
#[test]
fn only_what_was_not_sent_is_given_back_while_its_lease_lives() {
    for (is_settled, after_ms, is_free) in [
        (false, 100, true),
        (true, 100, false),
        (false, LEASE_MS, false),
    ] {
        let (mut share, mut leader) = (Share::new(SESSION), Leader::first());
        let charged = charge(&mut share, &mut leader, 1_000, 500);
        let now = 1_000 + after_ms;
        if is_settled {
            share.settle(now, &charged);
        }
        if !is_settled {
            share.give_back(now, &charged);
        }
        let decision = share.charge(now, &pool(), 500);
        let case = (is_settled, after_ms);
        assert_eq!(
            matches!(decision, Decision::Charged(_)),
            is_free,
            "{case:?}"
        );
    }
}

/// Guards against a message that overtakes a later one and takes back what that reported.
#[test]
fn an_older_report_is_ignored() {
    let (mut share, mut leader) = (Share::new(SESSION), Leader::first());
    let charged = charge(&mut share, &mut leader, 1_000, 500);
    share.leader_changed();
    let before = share.take_ask(1_500).expect("a report");
    share.settle(1_600, &charged);
    let after = share.take_ask(2_000).expect("a report");
    leader.ask(2_010, &after);
    leader.ask(2_020, &before);
    assert_eq!(leader.used(2_100), (500, 0));
}

/// Guards against a new leader that lends again what the former one has lent, or that never does.
#[test]
fn a_new_leader_counts_the_blocks_of_earlier_ones() {
    let (mut share, mut leader) = (Share::new(SESSION), Leader::first());
    charge(&mut share, &mut leader, 1_000, 6_000);
    // A process that has restored a snapshot counts the same.
    let mut restored = Ledger::new(&POLICY);
    restored.restore(1_000, &leader.ledger.snapshot(1_000));
    for ledger in [leader.ledger, restored] {
        let mut leader = Leader::new(2, ledger);
        let mut other = Share::new(SESSION + 1);
        for (now, is_granted) in [
            (2_000, false),
            (1_000 + POLICY.window_ms + LEASE_MS, false),
            (1_200 + POLICY.window_ms + LEASE_MS + BLOCK_MS, true),
        ] {
            waits(&mut other, now, 6_000);
            let ask = other.take_ask(now).expect("a message");
            let mut replies = leader.ask(now, &ask);
            replies.extend(leader.lender.tick(now + 300, &leader.ledger));
            let outcomes = other.answered(now + 300, &replies[0].answer);
            let charged = matches!(outcomes[0].1, Outcome::Charged(_));
            assert_eq!(charged, is_granted, "at {now}: {outcomes:?}");
        }
    }
}

/// Guards against tenants that get nothing for as long as blocks count after all processes have started again: each
/// then applies the blocks of many seconds at once.
#[test]
fn blocks_that_are_applied_together_count_by_their_age() {
    let block = |proposed_at, amount| Reservation {
        ticket: proposed_at,
        proposed_at,
        blocks: vec![Block {
            pool: pool(),
            amount,
        }],
        returned: Vec::new(),
    };
    let (first, last) = (block(1_000, 6_000), block(9_000, 100));
    let mut replayed = Ledger::new(&POLICY);
    replayed.apply(100, 1, &first);
    let mut restored = Ledger::new(&POLICY);
    restored.restore(100, &replayed.snapshot(100));
    let full_ms = POLICY.window_ms + LEASE_MS + BLOCK_MS;
    for mut ledger in [replayed, restored] {
        ledger.apply(100, 1, &last);
        let mut leader = Leader::new(2, ledger);
        let mut share = Share::new(SESSION);
        for (now, is_granted) in [
            (100 + full_ms - 8_500, false),
            (300 + full_ms - 8_000, true),
        ] {
            waits(&mut share, now, 6_000);
            let ask = share.take_ask(now).expect("a message");
            let mut replies = leader.ask(now, &ask);
            replies.extend(leader.lender.tick(now + 300, &leader.ledger));
            let outcomes = share.answered(now + 300, &replies[0].answer);
            let charged = matches!(outcomes[0].1, Outcome::Charged(_));
            assert_eq!(charged, is_granted, "at {now}: {outcomes:?}");
        }
    }
}

/// Guards against a former leader that lends from a block after its successor has ceased to count it.
#[test]
fn nothing_is_granted_from_a_block_that_is_over() {
    for (after_ms, is_granted) in [(BLOCK_MS - 1, true), (BLOCK_MS, false)] {
        let (mut share, mut leader) = (Share::new(SESSION), Leader::first());
        charge(&mut share, &mut leader, 1_000, 50);
        let mut other = Share::new(SESSION + 1);
        let now = 1_000 + after_ms;
        waits(&mut other, now, 50);
        let ask = other.take_ask(now).expect("a message");
        // It has lost its followers: nothing is committed.
        let replies = leader.lender.ask(now, &leader.ledger, LINK, &ask);
        assert_eq!(!replies.is_empty(), is_granted, "after {after_ms} ms");
    }
}

/// Guards against a quota that a change of the leader uses up, since blocks are larger than what is granted.
#[test]
fn what_was_not_granted_of_a_block_does_not_count_for_a_later_leader() {
    let (mut share, mut leader) = (Share::new(SESSION), Leader::first());
    charge(&mut share, &mut leader, 1_000, 50);
    let in_log = |leader: &mut Leader, now| {
        let counted = leader.ledger.snapshot(now);
        counted.iter().map(|c| c.block.amount).sum::<u64>()
    };
    assert!(
        in_log(&mut leader, 1_000) > 100,
        "a block for more than that"
    );
    let now = 1_000 + BLOCK_MS;
    leader.lender.tick(now, &leader.ledger);
    // The next entry, which the other router needs.
    let mut other = Share::new(SESSION + 1);
    charge(&mut other, &mut leader, now, 5_000);
    // A little more than both requests, for the rate of grants.
    let counted = in_log(&mut leader, now);
    assert!((5_050..5_100).contains(&counted), "{counted}");
}

/// Guards against a router that gets nothing because what is left is divided by what all want.
#[test]
fn small_requests_of_many_routers_are_all_served() {
    let mut leader = Leader::first();
    let mut shares: Vec<Share> = (0..88).map(Share::new).collect();
    let mut replies = Vec::new();
    for share in &mut shares {
        waits(share, 1_000, 100);
        let ask = share.take_ask(1_000).expect("a message");
        replies.extend(leader.ask(1_000, &ask));
    }
    let reservation = leader.lender.proposal(1_100, &leader.ledger, 1);
    let reservation = reservation.expect("a block for all others");
    leader.ledger.apply(1_100, 1, &reservation);
    replies.extend(leader.lender.applied(1_100, &leader.ledger, &reservation));
    for reply in replies {
        let share = &mut shares[usize::try_from(reply.answer.session).expect("small")];
        let outcomes = share.answered(1_100, &reply.answer);
        assert!(
            matches!(outcomes[..], [(_, Outcome::Charged(_))]),
            "{outcomes:?}"
        );
    }
    assert_eq!(leader.used(1_150), (0, 8_800));
}

/// Guards against large requests that are never served since small ones take all that becomes free.
#[test]
fn a_large_request_is_not_overtaken_while_it_waits_for_its_turn() {
    let mut leader = Leader::first();
    let (mut first, mut large, mut small) = (Share::new(1), Share::new(2), Share::new(3));
    charge(&mut first, &mut leader, 1_000, 9_000);
    waits(&mut large, 1_100, 5_000);
    let ask = large.take_ask(1_100).expect("a message");
    assert!(leader.ask(1_100, &ask).is_empty(), "it waits");
    waits(&mut small, 1_110, 500);
    let ask = small.take_ask(1_110).expect("a message");
    assert!(leader.ask(1_110, &ask).is_empty(), "it waits for its turn");
    let replies = leader.lender.tick(1_310, &leader.ledger);
    let given = |session| {
        let reply = replies.iter().find(|r| r.answer.session == session);
        &reply.expect("answered").answer.given[0]
    };
    assert!(given(2).again_ms.is_some_and(|ms| ms > 0));
    assert_eq!(given(3).again_ms, None);
}

/// Guards against a lowered limit that takes effect only when all leases have expired.
#[test]
fn a_lowered_limit_holds_for_the_next_request() {
    let (mut share, mut leader) = (Share::new(SESSION), Leader::first());
    charge(&mut share, &mut leader, 1_000, 4_000);
    leader.lender.set_limits([(pool(), Limit(5_000))]);
    let mut other = Share::new(SESSION + 1);
    waits(&mut other, 1_100, 2_000);
    let ask = other.take_ask(1_100).expect("a message");
    leader.ask(1_100, &ask);
    let replies = leader.lender.tick(1_400, &leader.ledger);
    let outcomes = other.answered(1_400, &replies[0].answer);
    assert!(
        matches!(outcomes[0].1, Outcome::Refused { .. }),
        "{outcomes:?}"
    );
}
