//! The report of a run: counts, latencies and verdict, as a table and as JSON.

use std::fmt;

use hdrhistogram::Histogram;
use lovageplank_core::prelude::*;

use super::outcome::{Ending, Outcome};
use super::verdict::{Finding, Verdict};

/// Upper bound of the histograms, in microseconds (an hour). Longer times count as this one.
const MAX_RECORDED_US: u64 = 3_600_000_000;

/// Significant decimal digits of the values in a histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Delay of the start in microseconds above which a call counts as started late.
const LATE_START_US: u64 = 50_000;

/// Maximum number of findings of each kind in the table; the rest are only counted.
const MAX_FINDINGS_SHOWN: usize = 5;

record! { copy =>
    /// Quantiles of a set of times in microseconds; all 0 if the set is empty.
    #[derive(Default)]
    pub struct Times {
        /// Number of times.
        pub count: u64,
        /// The median.
        pub p50_us: u64,
        /// The 90th percentile.
        pub p90_us: u64,
        /// The 99th percentile.
        pub p99_us: u64,
        /// The 99.9th percentile.
        pub p999_us: u64,
        /// The maximum.
        pub max_us: u64,
    }
}

record! { key =>
    /// Counts, latencies and verdict of a run.
    pub struct Report {
        /// Number of calls.
        pub calls: u64,
        /// Number of calls with a complete answer.
        pub whole: u64,
        /// Number of error answers by status and code.
        pub refused: BTreeMap<String, u64>,
        /// Times that a call was sent again, over all calls.
        pub retries: u64,
        /// Number of calls that started more than 50 ms after their planned start.
        pub started_late: u64,
        /// Times by kind, of complete answers only except for `refused`. They are measured from the
        /// planned start, except for `token gap`, the time between successive tokens.
        pub times: BTreeMap<String, Times>,
        /// Violated guarantees.
        pub verdict: Verdict,
    }
}

impl Report {
    pub(super) fn new(outcomes: &[Outcome], verdict: Verdict) -> Report {
        let mut refused: BTreeMap<String, u64> = BTreeMap::new();
        for outcome in outcomes {
            if let Ending::Refused { status, code, .. } = &outcome.ending {
                *refused.entry(format!("{status} {code}")).or_default() += 1;
            }
        }
        let late = |outcome: &&Outcome| outcome.late_us > LATE_START_US;
        Report {
            calls: outcomes.len() as u64,
            whole: outcomes.iter().filter(|outcome| is_whole(outcome)).count() as u64,
            refused,
            retries: outcomes
                .iter()
                .map(|outcome| u64::from(outcome.retries))
                .sum(),
            started_late: outcomes.iter().filter(late).count() as u64,
            times: times(outcomes),
            verdict,
        }
    }
}

fn is_whole(outcome: &Outcome) -> bool {
    outcome.ending == Ending::Whole
}

fn times(outcomes: &[Outcome]) -> BTreeMap<String, Times> {
    let mut histograms: BTreeMap<&str, Histogram<u64>> = BTreeMap::new();
    let mut record_time = |kind, time| {
        if let Some(histogram) = histogram(&mut histograms, kind) {
            histogram.saturating_record(time);
        }
    };
    for outcome in outcomes {
        if let Ending::Refused { .. } = outcome.ending {
            record_time("refused", outcome.took_us);
        }
        if !is_whole(outcome) {
            continue;
        }
        let kind = match (outcome.hash, outcome.stream) {
            (None, _) => "plain",
            (Some(_), false) => "completion",
            (Some(_), true) => "stream",
        };
        record_time(kind, outcome.took_us);
        if outcome.cold_ms.is_some_and(|ms| ms > 0) {
            record_time("cold", outcome.first_token_us.unwrap_or(outcome.took_us));
        }
        if let Some(time) = outcome.first_token_us {
            record_time("first token", time);
        }
        for gap in &outcome.gaps_us {
            record_time("token gap", *gap);
        }
    }
    let summary =
        |(kind, histogram): (&str, Histogram<u64>)| (kind.to_owned(), quantiles(&histogram));
    histograms.into_iter().map(summary).collect()
}

/// Returns the histogram of a kind. `None` only if the library rejects the bounds, which are
/// constants.
fn histogram<'a>(
    histograms: &'a mut BTreeMap<&'static str, Histogram<u64>>,
    kind: &'static str,
) -> Option<&'a mut Histogram<u64>> {
    if !histograms.contains_key(kind) {
        let new = Histogram::new_with_max(MAX_RECORDED_US, SIGNIFICANT_DIGITS).ok()?;
        histograms.insert(kind, new);
    }
    histograms.get_mut(kind)
}

fn quantiles(histogram: &Histogram<u64>) -> Times {
    Times {
        count: histogram.len(),
        p50_us: histogram.value_at_quantile(0.5),
        p90_us: histogram.value_at_quantile(0.9),
        p99_us: histogram.value_at_quantile(0.99),
        p999_us: histogram.value_at_quantile(0.999),
        max_us: histogram.max(),
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "calls {}  whole {}  retries {}  started late {}",
            self.calls, self.whole, self.retries, self.started_late
        )?;
        for (reason, count) in &self.refused {
            writeln!(formatter, "refused {count}: {reason}")?;
        }
        write_times(formatter, &self.times)?;
        write_verdict(formatter, &self.verdict)
    }
}

fn write_times(formatter: &mut fmt::Formatter<'_>, times: &BTreeMap<String, Times>) -> fmt::Result {
    writeln!(
        formatter,
        "{:<12} {:>8} {:>10} {:>10} {:>10} {:>10} {:>10}",
        "ms", "count", "p50", "p90", "p99", "p99.9", "max"
    )?;
    for (kind, times) in times {
        writeln!(
            formatter,
            "{kind:<12} {:>8} {:>10} {:>10} {:>10} {:>10} {:>10}",
            times.count,
            millis(times.p50_us),
            millis(times.p90_us),
            millis(times.p99_us),
            millis(times.p999_us),
            millis(times.max_us)
        )?;
    }
    Ok(())
}

fn millis(us: u64) -> String {
    format!("{}.{}", us / 1_000, us % 1_000 / 100)
}

fn write_verdict(formatter: &mut fmt::Formatter<'_>, verdict: &Verdict) -> fmt::Result {
    let kinds: [(&str, &[Finding]); 5] = [
        ("lost", &verdict.lost),
        ("doubled", &verdict.doubled),
        ("cut", &verdict.cut),
        ("crossed", &verdict.crossed),
        ("ran though refused", &verdict.ran_though_refused),
    ];
    for (kind, findings) in kinds {
        writeln!(formatter, "{kind} {}", findings.len())?;
        for finding in findings.iter().take(MAX_FINDINGS_SHOWN) {
            writeln!(formatter, "  call {}: {}", finding.number, finding.reason)?;
        }
    }
    writeln!(
        formatter,
        "overcommitted {}  cut by unload {}  reruns {}",
        verdict.overcommitted, verdict.cut_by_unload, verdict.reruns
    )?;
    for (model, replicas) in &verdict.max_replicas {
        let loads = verdict.loads.get(model).copied().unwrap_or_default();
        writeln!(
            formatter,
            "model {model}: {loads} loads, at most {replicas} replicas at once"
        )?;
    }
    let clean = if verdict.is_clean() {
        "clean"
    } else {
        "BROKEN"
    };
    write!(formatter, "verdict {clean}")
}
