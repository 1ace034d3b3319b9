//! Hazard rate of a wake by idle age.

/// Classes of idle age; each is twice as long as the one before.
const CLASSES: usize = 20;
/// Upper end of the first class in seconds.
const FIRST_CLASS_S: f64 = 1.0;
/// Weight of the prior, in gaps that lasted through a class.
const PRIOR_GAPS: f64 = 3.0;
/// Time in which half of the history is forgotten, in seconds.
const HALF_LIFE_S: f64 = 3.0 * 86_400.0;

/// Wakes and idle time by class of idle age, both fading with age.
///
/// Invariant: every figure is finite and not negative.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hazard {
    wakes: [f64; CLASSES],
    idle_s: [f64; CLASSES],
}

impl Hazard {
    /// Takes in a gap of `gap_s` seconds that ended in a wake.
    pub fn observe(&mut self, gap_s: f64) {
        self.fade(gap_s);
        let last = class(gap_s);
        for index in 0..=last {
            self.idle_s[index] += (gap_s.min(class_end(index)) - class_start(index)).max(0.0);
        }
        self.wakes[last] += 1.0;
    }

    /// Wakes per second at idle age `age_s`.
    ///
    /// `open_s` is how long the gap that is open now has lasted: idle time without a wake.
    pub fn rate(&self, age_s: f64, open_s: f64, prior_gap_s: f64) -> f64 {
        let index = class(age_s);
        let open = (open_s.min(class_end(index)) - class_start(index)).max(0.0);
        let length = class_start(index).max(FIRST_CLASS_S);
        let prior_rate = 1.0 / (prior_gap_s + class_start(index) + length / 2.0);
        let prior_s = PRIOR_GAPS * length;
        let wakes = self.wakes[index] + prior_s * prior_rate;
        wakes / (self.idle_s[index] + open + prior_s)
    }

    /// Where the class that holds `age_s` ends; infinite for the last.
    pub fn class_end_s(age_s: f64) -> f64 {
        class_end(class(age_s))
    }

    fn fade(&mut self, elapsed_s: f64) {
        let left = 0.5_f64.powf(elapsed_s / HALF_LIFE_S);
        for figure in self.wakes.iter_mut().chain(&mut self.idle_s) {
            *figure *= left;
        }
    }
}

/// The class of an idle age.
fn class(age_s: f64) -> usize {
    (0..CLASSES - 1)
        .find(|&index| age_s < class_end(index))
        .unwrap_or(CLASSES - 1)
}

fn class_start(index: usize) -> f64 {
    if index == 0 {
        0.0
    } else {
        class_end(index - 1)
    }
}

fn class_end(index: usize) -> f64 {
    if index == CLASSES - 1 {
        return f64::INFINITY;
    }
    FIRST_CLASS_S * 2_f64.powi(i32::try_from(index).unwrap_or(i32::MAX))
}
