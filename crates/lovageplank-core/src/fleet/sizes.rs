//! What models take of the memory of engines that loaded them by an earlier document.
//!
//! An engine reports which models it has loaded, but not what they take. A model takes what it took when it
//! was loaded, also when a document lists another size by then, or doesn't list the model any more. So the
//! control processes keep the largest size that documents have listed for each model; a leader that starts
//! after the change reads it from the replicated state.
//!
//! ```
//! use lovageplank_core::fleet::sizes::Size;
//!
//! let size = Size { weights_kb: 60_000, adapter_kb: 10 };
//! assert_eq!(size.mb(2), 60.02);
//! ```

use super::deployment::{Deployment, ModelSpec};
use crate::prelude::*;

/// Models that no document lists any more and whose size is kept.
pub const DROPPED_MAX: usize = 4_096;
/// Kilobytes in a megabyte.
const KB_PER_MB: f64 = 1_000.0;

record! { copy =>
    /// What a model takes of an engine's memory, rounded up.
    #[derive(Default)]
    pub struct Size {
        /// Its weights, in kilobytes.
        pub weights_kb: u64,
        /// Each of its adapters, in kilobytes.
        pub adapter_kb: u64,
    }
}

record! { key =>
    /// Largest sizes of models that documents have listed, by service and model.
    #[derive(Default)]
    pub struct Sizes {
        /// Sizes that are larger than those that the document in force lists, and sizes of models that it
        /// doesn't list: of these, no more than [`DROPPED_MAX`].
        past: BTreeMap<(Name, Name), Size>,
        /// At least the size of each model that was left out of `past`.
        forgotten: Size,
        /// Sizes that the document in force lists; `None` before there is one.
        #[serde(skip)]
        listed: Option<BTreeMap<(Name, Name), Size>>,
    }
}

impl Size {
    /// Returns the size that a document lists.
    pub fn of(model: &ModelSpec) -> Size {
        Size {
            weights_kb: kilobytes(model.weights_mb),
            adapter_kb: kilobytes(model.adapter_mb),
        }
    }

    /// Returns the size whose weights and adapters are the larger ones of both.
    #[must_use]
    pub fn larger(self, other: Size) -> Size {
        Size {
            weights_kb: self.weights_kb.max(other.weights_kb),
            adapter_kb: self.adapter_kb.max(other.adapter_kb),
        }
    }

    /// Returns the megabytes that the model takes with this number of adapters.
    pub fn mb(self, adapters: usize) -> f64 {
        #[allow(clippy::cast_precision_loss)] // Far below 2^53 kilobytes.
        let (weights_kb, adapter_kb) = (self.weights_kb as f64, self.adapter_kb as f64);
        #[allow(clippy::cast_precision_loss)] // A few adapters.
        let adapters = adapters as f64;
        (weights_kb + adapters * adapter_kb) / KB_PER_MB
    }
}

impl Sizes {
    /// Records that a document is in force. Sizes that the document before it listed, and this one doesn't
    /// or lists smaller, are kept.
    pub fn list(&mut self, deployment: &Deployment) {
        let listed = listed(deployment);
        if let Some(before) = self.listed.take() {
            // A model that was forgotten may still be loaded at the size that it had.
            if self.forgotten != Size::default() {
                for model in listed.keys().filter(|model| !before.contains_key(*model)) {
                    self.keep(model, self.forgotten);
                }
            }
            for (model, size) in &before {
                self.keep(model, *size);
            }
        }
        self.past.retain(|model, size| {
            let now = listed.get(model);
            now.is_none_or(|now| now.larger(*size) != *now)
        });
        self.forget(&listed);
        self.listed = Some(listed);
    }

    /// Adds what a snapshot contains.
    pub fn restore(&mut self, snapshot: &Sizes) {
        for (model, size) in &snapshot.past {
            self.keep(model, *size);
        }
        self.forgotten = self.forgotten.larger(snapshot.forgotten);
    }

    /// Returns the largest size that earlier documents listed, if it is larger than the one that the document in force
    /// lists.
    pub fn past(&self, service: &Name, model: &Name) -> Option<Size> {
        if self.past.is_empty() {
            return None;
        }
        self.past.get(&(service.clone(), model.clone())).copied()
    }

    /// Whether nothing is kept, so that a snapshot needs no sizes.
    pub fn is_empty(&self) -> bool {
        self.past.is_empty() && self.forgotten == Size::default()
    }

    fn keep(&mut self, model: &(Name, Name), size: Size) {
        let kept = self.past.entry(model.clone()).or_default();
        *kept = kept.larger(size);
    }

    /// Leaves out models that aren't listed, beyond [`DROPPED_MAX`].
    fn forget(&mut self, listed: &BTreeMap<(Name, Name), Size>) {
        let dropped = self.past.keys().filter(|m| !listed.contains_key(*m));
        let beyond: Vec<(Name, Name)> = dropped.skip(DROPPED_MAX).cloned().collect();
        for model in beyond {
            if let Some(size) = self.past.remove(&model) {
                self.forgotten = self.forgotten.larger(size);
            }
        }
    }
}

fn listed(deployment: &Deployment) -> BTreeMap<(Name, Name), Size> {
    let services = deployment.services.iter();
    let engines = services.filter_map(|(name, service)| Some((name, service.engine.as_ref()?)));
    engines
        .flat_map(|(service, engine)| {
            let models = engine.models.iter();
            models.map(|(model, spec)| ((service.clone(), model.clone()), Size::of(spec)))
        })
        .collect()
}

fn kilobytes(mb: f64) -> u64 {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    // Cut off at 0 and the maximum.
    let kb = (mb * KB_PER_MB).ceil() as u64;
    kb
}
