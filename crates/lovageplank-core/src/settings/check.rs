//! Checks across the whole tree.

use super::read::join;
use super::{Effective, Error, Kind, Service, Tree, Values};
use crate::prelude::*;

/// Finds inconsistencies between the parts of a tree. Each part must be valid by itself.
pub(super) fn tree(tree: &Tree) -> Vec<Error> {
    let mut errors = Vec::new();
    let mut owners = BTreeMap::new();
    check_bounds(
        "",
        &tree.settings,
        &overlay_all(&[&tree.settings]),
        &mut errors,
    );
    for (name, service) in &tree.services {
        let path = join("services", name);
        let levels = [&tree.settings, &service.settings];
        check_bounds(&path, &service.settings, &overlay_all(&levels), &mut errors);
        check_plain(&path, service, &mut errors);
        for (model, m) in &service.models {
            let path = join(&join(&path, "models"), model);
            let levels = [&tree.settings, &service.settings, &m.settings];
            check_bounds(&path, &m.settings, &overlay_all(&levels), &mut errors);
            if let Some(owner) = owners.insert(model, name) {
                let reason = format!("service {owner:?} lists a model of this name; rename one");
                errors.push(Error::new(path, reason));
            }
        }
    }
    errors
}

/// Accelerator memory in megabytes of each model, by service and model.
pub(super) fn memory_mb(tree: &Tree) -> BTreeMap<(Name, Name), u64> {
    let services = tree.services.iter();
    let models = services.flat_map(|(s, service)| {
        let models = service.models.iter();
        models.map(|(m, model)| ((s.clone(), m.clone()), model.memory_mb))
    });
    models.collect()
}

/// Rejects models that `new` adds or enlarges beyond the memory of their service's largest engine.
///
/// A model that needs no more memory than in `old` is accepted even if it exceeds that size.
/// Otherwise every other change would be rejected after the loss of a large engine. Services
/// without known engines are not checked.
pub(super) fn model_sizes(
    old: &BTreeMap<(Name, Name), u64>,
    new: &Tree,
    largest_engine_mb: &BTreeMap<Name, u64>,
) -> Vec<Error> {
    let mut errors = Vec::new();
    for (name, service) in &new.services {
        let Some(largest_engine_mb) = largest_engine_mb.get(name) else {
            continue;
        };
        for (model, m) in &service.models {
            let previous_mb = old.get(&(name.clone(), model.clone()));
            if m.memory_mb > *largest_engine_mb && previous_mb.is_none_or(|mb| *mb < m.memory_mb) {
                let path = format!("services/{name}/models/{model}/memory_mb");
                let reason = format!(
                    "{} MB fit no engine of the service; the largest has {largest_engine_mb} MB",
                    m.memory_mb
                );
                errors.push(Error::new(path, reason));
            }
        }
    }
    errors
}

fn overlay_all(levels: &[&Values]) -> Effective {
    let mut effective = Effective::default();
    for values in levels {
        effective.overlay(values);
    }
    effective
}

/// Checks that lower bounds don't exceed their upper bounds. An error is reported at each level
/// that sets at least one bound of the pair.
fn check_bounds(path: &str, own: &Values, effective: &Effective, errors: &mut Vec<Error>) {
    let sets_replicas = own.min_replicas.is_some() || own.max_replicas.is_some();
    if sets_replicas && effective.min_replicas > effective.max_replicas {
        let reason = format!(
            "{} is above max_replicas, which is {} here; lower it or raise max_replicas",
            effective.min_replicas, effective.max_replicas
        );
        errors.push(Error::new(join(path, "min_replicas"), reason));
    }
    let sets_keep_alive = own.keep_alive_min_ms.is_some() || own.keep_alive_max_ms.is_some();
    if sets_keep_alive && effective.keep_alive_min_ms > effective.keep_alive_max_ms {
        let reason = format!(
            "{} is above keep_alive_max_ms, which is {} here; lower it or raise keep_alive_max_ms",
            effective.keep_alive_min_ms, effective.keep_alive_max_ms
        );
        errors.push(Error::new(join(path, "keep_alive_min_ms"), reason));
    }
}

fn check_plain(path: &str, service: &Service, errors: &mut Vec<Error>) {
    if service.kind == Kind::Plain && !service.models.is_empty() {
        let reason = "a plain service has no models; remove them or make its kind \"engine\"";
        errors.push(Error::new(join(path, "models"), reason));
    }
}
