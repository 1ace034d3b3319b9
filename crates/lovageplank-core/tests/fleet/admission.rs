//! Who waits and who is refused while capacity is short.

use crate::admission_site::{Kind, Site};

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

fn print(label: &str, site: &Site, kinds: &[Kind]) {
    for (kind, tally) in kinds.iter().zip(&site.tallies) {
        println!(
            "{label} {}: answered {:.3} on_time {:.3} large {:.3} {tally:?}",
            kind.name,
            tally.answered_part(),
            tally.on_time_part(),
            tally.large_part()
        );
    }
    println!("{label} waiting_max {} busy {:.3}", site.waiting_max, site.busy_part());
}

#[test]
fn trial() {
    let burst = Kind {
        per_s: |second| if second >= 10 && second < 30 { 60.0 } else { 10.0 },
        ..BATCH
    };
    let heavy = Kind { per_s: |_| 100.0, ..CAPTION };
    let tenants: Vec<Kind> = ["t0","t1","t2","t3","t4","t5"].into_iter().map(|name| Kind { name, tenant: Some(name), priority: 1, per_s: |_| 10.0, ..DIGEST }).chain([
      Kind { name: "large", tenant: Some("large"), priority: 1, per_s: |_| 25.0, ..DIGEST },
      Kind { name: "hot", tenant: Some("hot"), priority: 1, per_s: |s| if s >= 100 && s < 130 { 60.0 } else { 10.0 }, ..DIGEST }]).collect();
    for (name, from, to, kinds) in [
        ("calm", 1, 10, vec![CAPTION, DIGEST, BATCH]),
        ("burst", 10, 20, vec![CAPTION, DIGEST, burst.clone()]),
        ("urgent", 10, 20, vec![heavy, DIGEST, BATCH]),
        ("tenants", 100, 30, tenants.iter().map(|k| Kind { run_ms: 850, ..k.clone() }).collect()),
    ] {
        for is_on in [false, true] {
            let mut site = Site::new(20, 12, 8, &kinds, is_on);
            site.play(from);
            site.reset();
            site.play(to);
            print(&format!("{name} {is_on}"), &site, &kinds);
        }
    }
}
