//! Demand summed over routers.

use lovageplank_core::demand::{DemandReport, ModelDemand, Table};
use lovageplank_core::prelude::*;

fn report(waiting: u32, deadline_in_ms: Option<u64>, last: Option<u64>) -> DemandReport {
    let model_demand = ModelDemand {
        waiting,
        deadline_in_ms,
        last_deadline_in_ms: last,
        running: 1,
        adapters: BTreeMap::from([("a".into(), waiting)]),
        ..ModelDemand::new("lime")
    };
    DemandReport {
        models: vec![model_demand],
    }
}

#[test]
fn totals_sum_over_routers() {
    // Per router: time of its report, waiting, earliest and latest deadline.
    // Sum: waiting, earliest and latest deadline.
    type Report = (Millis, u32, Option<u64>, Option<u64>);
    type Merged = (u32, Option<Millis>, Option<Millis>);
    let cases: &[(&[Report], Merged)] = &[
        (&[(0, 2, Some(900), None)], (2, Some(900), Some(900))),
        (
            &[(0, 2, Some(900), Some(2_000)), (500, 3, Some(300), None)],
            (5, Some(800), Some(2_000)),
        ),
        (&[(0, 0, Some(10), Some(90))], (0, None, None)),
        (
            &[(0, 4, None, None), (0, 1, Some(70), None)],
            (5, Some(70), Some(70)),
        ),
    ];
    for (reports, (waiting, first, last)) in cases {
        let mut table = Table::new(5_000);
        for (index, (now, waiting, first, last)) in reports.iter().enumerate() {
            let report = report(*waiting, *first, *last);
            table.observe(*now, &format!("r{index}"), &report);
        }
        let total = table.total("lime");
        assert_eq!(
            (total.waiting, total.deadline, total.last_deadline),
            (*waiting, *first, *last)
        );
        assert_eq!(total.running as usize, reports.len());
        assert_eq!(total.adapters.get("a"), Some(waiting));
        assert_eq!(table.totals().get("lime"), Some(&total));
    }
}

#[test]
fn a_report_replaces_the_previous_one() {
    let mut table = Table::new(5_000);
    table.observe(0, "r1", &report(7, Some(100), None));
    table.observe(10, "r1", &report(1, Some(100), None));
    assert_eq!(table.total("lime").waiting, 1);
    table.observe(20, "r1", &DemandReport::default());
    assert_eq!(table.totals(), BTreeMap::new());
}

#[test]
fn a_router_without_reports_expires() {
    let mut table = Table::new(5_000);
    table.observe(0, "r1", &report(7, Some(100_000), None));
    table.observe(4_000, "r2", &report(2, Some(100_000), None));
    for (now, waiting) in [(4_999, 9), (5_000, 2), (8_999, 2), (9_000, 0)] {
        table.expire(now);
        assert_eq!(table.total("lime").waiting, waiting, "at {now}");
    }
}
