//! Loads of whole deployments while capacity is short. Bounds are those of the requirements: no starvation, urgent
//! requests no worse than others, large ones served at least half as often, no idle capacity.

use crate::admission_site::{Kind, Site, Tally};

/// Each kind and tenant is answered at least this part as often as all.
const STARVED_PART: f64 = 0.25;
/// Urgent requests are answered at most this part less often than less urgent ones.
const ANSWERED_SLACK: f64 = 0.05;
/// Urgent requests earn at most this part less of their value than less urgent ones.
const VALUE_SLACK: f64 = 0.15;
/// The largest tenth is answered at least this part as often as the kind.
const LARGE_PART: f64 = 0.5;
/// Slots that may stand idle beyond those that stand idle without admission control.
const IDLE_SLACK: f64 = 0.03;

const CAPTION: Kind = Kind {
    name: "caption",
    priority: 0,
    objective_ms: 500,
    patience_ms: 2_000,
    run_ms: 800,
    per_s: |_| 30.0,
    tenant: None,
};
const DIGEST: Kind = Kind {
    name: "digest",
    priority: 1,
    objective_ms: 1_500,
    patience_ms: 4_000,
    run_ms: 1_500,
    per_s: |_| 12.0,
    tenant: None,
};
const BATCH: Kind = Kind {
    name: "batch",
    priority: 2,
    objective_ms: 4_000,
    patience_ms: 8_000,
    run_ms: 2_000,
    per_s: |_| 10.0,
    tenant: None,
};

/// Plays a load and returns what became of the requests in a part of it.
fn play(kinds: &[Kind], is_on: bool, from: u64, seconds: u64) -> Site {
    let mut site = Site::new(20, 12, 8, kinds, is_on);
    site.play(from);
    site.reset();
    site.play(seconds);
    for (kind, tally) in kinds.iter().zip(&site.tallies) {
        println!(
            "on={is_on} {}: answered {:.3} on time {:.3} large {:.3} {tally:?}",
            kind.name,
            tally.answered_part(),
            tally.on_time_part(),
            tally.large_part()
        );
    }
    println!("busy {:.3}, waiting {}", site.busy_part(), site.waiting_max);
    site
}

fn answered_of_all(tallies: &[Tally]) -> f64 {
    let asked: u32 = tallies.iter().map(|t| t.asked).sum();
    let answered: u32 = tallies.iter().map(|t| t.answered).sum();
    f64::from(answered) / f64::from(asked)
}

/// Checks what holds under each load; kinds are in the order of their urgency.
fn check(kinds: &[Kind], site: &Site) {
    let all = answered_of_all(&site.tallies);
    for (index, (kind, tally)) in kinds.iter().zip(&site.tallies).enumerate() {
        let name = kind.name;
        let (answered, on_time) = (tally.answered_part(), tally.on_time_part());
        assert!(
            answered >= STARVED_PART * all,
            "{name} is starved: {tally:?}"
        );
        let large = tally.large_part();
        assert!(
            large >= LARGE_PART * answered,
            "{name}, large ones: {tally:?}"
        );
        let less_urgent = kinds.iter().zip(&site.tallies).skip(index + 1);
        for (other, other_tally) in less_urgent.filter(|(k, _)| k.priority > kind.priority) {
            let better = other_tally.answered_part();
            assert!(
                answered >= better - ANSWERED_SLACK,
                "{name} against {}",
                other.name
            );
            let better = other_tally.on_time_part();
            assert!(
                on_time >= better - VALUE_SLACK,
                "{name} against {}",
                other.name
            );
        }
    }
}

/// Guards against a price of admission control where capacity isn't short.
#[test]
fn calm_load_is_served_whole() {
    let kinds = [CAPTION, DIGEST, BATCH];
    let site = play(&kinds, true, 2, 20);
    check(&kinds, &site);
    for tally in &site.tallies {
        assert_eq!(tally.refused, 0, "{tally:?}");
    }
}

/// Guards against a burst of batch requests that costs captions their answers.
#[test]
fn a_burst_of_batch_requests_beside_captions() {
    let burst = Kind {
        per_s: |second| if second >= 10 { 60.0 } else { 10.0 },
        ..BATCH
    };
    let kinds = [CAPTION, DIGEST, burst];
    let before = play(&kinds, false, 10, 20);
    let site = play(&kinds, true, 10, 20);
    check(&kinds, &site);
    for urgent in [0, 1] {
        let (before, after) = (before.tallies[urgent], site.tallies[urgent]);
        assert!(after.on_time_part() > before.on_time_part());
        // Urgent demand alone is less than half of the capacity, so a burst below it costs nearly nothing.
        assert!(after.answered_part() >= 1.0 - ANSWERED_SLACK, "{after:?}");
    }
    assert!(site.busy_part() >= before.busy_part() - IDLE_SLACK);
}

/// Guards against less urgent requests that are never served while urgent ones fill all slots.
#[test]
fn more_urgent_requests_than_all_slots_can_run() {
    let heavy = Kind {
        per_s: |_| 100.0,
        ..CAPTION
    };
    let kinds = [heavy, DIGEST, BATCH];
    let before = play(&kinds, false, 10, 30);
    let site = play(&kinds, true, 10, 30);
    check(&kinds, &site);
    assert!(site.busy_part() >= before.busy_part() - IDLE_SLACK);
}

fn tenants(hot: fn(u64) -> f64) -> Vec<Kind> {
    let kind = |name, per_s| Kind {
        name,
        tenant: Some(name),
        run_ms: 850,
        per_s,
        ..DIGEST
    };
    let small = ["t0", "t1", "t2", "t3", "t4", "t5"];
    let small = small.into_iter().map(|name| kind(name, |_| 10.0));
    // Its usual load is larger than an equal share.
    let large = kind("large", |_| 25.0);
    small.chain([large, kind("hot", hot)]).collect()
}

/// Guards against a tenant that gets more capacity by sending more, also at the cost of a large one.
#[test]
fn a_tenant_that_sends_six_times_its_usual_load() {
    let usual = tenants(|_| 10.0);
    let hot = tenants(|second| if second >= 100 { 60.0 } else { 10.0 });
    let before = play(&usual, true, 100, 30);
    let site = play(&hot, true, 100, 30);
    check(&hot, &site);
    let others = hot.iter().zip(&site.tallies).zip(&before.tallies);
    for ((kind, after), before) in others.filter(|((kind, _), _)| kind.name != "hot") {
        let (after, before) = (after.answered_part(), before.answered_part());
        assert!(
            after >= before - ANSWERED_SLACK,
            "{}: {after} after {before}",
            kind.name
        );
    }
}

/// Guards against small requests that overtake large ones again and again.
#[test]
fn requests_of_very_different_sizes() {
    let kind = Kind {
        per_s: |_| 90.0,
        ..DIGEST
    };
    let kinds = [kind];
    play(&kinds, false, 5, 30);
    let site = play(&kinds, true, 5, 30);
    check(&kinds, &site);
    assert!(
        site.tallies[0].answered_part() < 0.9,
        "capacity isn't short"
    );
}

/// Guards against requests that are kept, or kept from engines for ever, when engines stop for a while.
#[test]
fn a_queue_that_stands() {
    let kinds = [CAPTION, DIGEST, BATCH];
    let mut site = Site::new(20, 12, 8, &kinds, true);
    site.play(5);
    site.stands_still = true;
    site.play(12);
    assert_eq!(
        site.overdue(),
        0,
        "callers have given up and their requests still wait"
    );
    site.stands_still = false;
    site.play(10);
    site.reset();
    site.play(10);
    check(&kinds, &site);
    for tally in &site.tallies {
        assert!(tally.answered_part() > 0.95, "{tally:?}");
    }
}
