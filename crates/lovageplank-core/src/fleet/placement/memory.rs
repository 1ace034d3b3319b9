//! What the models of an engine take of its memory.
//!
//! An engine doesn't report it. The weights of a model that this leader has had loaded take what was listed
//! meanwhile; those of other models, and all adapters, the largest size that documents have listed. A model
//! of which no document has listed a size may take all that the others leave.

use super::engine::{Engine, ModelState};
use super::load_cost::RESERVED_MB;
use crate::fleet::deployment::EngineSpec;
use crate::fleet::sizes::{Size, Sizes};
use crate::prelude::*;

impl Engine {
    /// Megabytes that a model takes with its adapters; `None` if that isn't known.
    pub(super) fn taken_mb(&self, spec: &EngineSpec, sizes: &Sizes, model: &Name) -> Option<f64> {
        let model_state = self.loaded.get(model)?;
        let size = self.size(spec, sizes, model, model_state)?;
        Some(size.mb(model_state.adapters.len()))
    }

    /// Models of which it isn't known what they take.
    pub(super) fn models_of_unknown_size(
        &self,
        spec: &EngineSpec,
        sizes: &Sizes,
    ) -> impl Iterator<Item = &Name> {
        let models = self.loaded.keys();
        models.filter(|model| self.taken_mb(spec, sizes, model).is_none())
    }

    /// Megabytes that the models of known sizes leave free; below 0 if they take more than a document
    /// lists.
    pub(super) fn left_mb(&self, spec: &EngineSpec, sizes: &Sizes) -> f64 {
        let models = self.loaded.keys();
        let taken_mb: f64 = models.filter_map(|m| self.taken_mb(spec, sizes, m)).sum();
        spec.weights_mb - RESERVED_MB - taken_mb
    }

    /// Whether this many megabytes are certainly free.
    pub(super) fn has_room(&self, spec: &EngineSpec, sizes: &Sizes, mb: f64) -> bool {
        self.left_mb(spec, sizes) >= mb && self.models_of_unknown_size(spec, sizes).next().is_none()
    }

    fn size(
        &self,
        spec: &EngineSpec,
        sizes: &Sizes,
        model: &Name,
        model_state: &ModelState,
    ) -> Option<Size> {
        let listed = spec.models.get(model).map(Size::of);
        let past = sizes.past(&self.service, model);
        // Adapters may have been loaded by a later document than their model.
        let past = past.map(|past| Size {
            weights_kb: model_state.size.map_or(past.weights_kb, |_| 0),
            ..past
        });
        let sizes = [listed, model_state.size, past].into_iter().flatten();
        sizes.reduce(Size::larger)
    }
}
