//! Reads settings trees from JSON values and collects all errors with their paths.

use super::values::unknown_name;
use super::{Adapter, Error, Kind, Model, Service, Tree, Values};
use crate::prelude::*;
use serde_json::{Map, Value};

/// Maximum bytes of a name or version; longer ones are refused.
const MAX_NAME_BYTES: usize = 128;
/// Maximum megabytes of accelerator memory of a model; a larger size is refused.
const MAX_MEMORY_MB: u64 = 100_000_000;

pub(super) fn tree(value: &Value) -> Result<Tree, Vec<Error>> {
    collect_errors(|errors| {
        let Some(fields) = object("", value, &["settings", "services"], errors) else {
            return Tree::default();
        };
        Tree {
            settings: values("", fields, errors),
            services: named_items("services", fields.get("services"), errors, service),
        }
    })
}

pub(super) fn parse_service(path: &str, value: &Value) -> Result<Service, Vec<Error>> {
    collect_errors(|errors| service(path, value, errors))
}

pub(super) fn parse_model(path: &str, value: &Value) -> Result<Model, Vec<Error>> {
    collect_errors(|errors| model(path, value, errors))
}

pub(super) fn parse_adapter(path: &str, value: &Value) -> Result<Adapter, Vec<Error>> {
    collect_errors(|errors| adapter(path, value, errors))
}

fn collect_errors<T>(read: impl FnOnce(&mut Vec<Error>) -> T) -> Result<T, Vec<Error>> {
    let mut errors = Vec::new();
    let value = read(&mut errors);
    if errors.is_empty() {
        Ok(value)
    } else {
        Err(errors)
    }
}

fn service(path: &str, value: &Value, errors: &mut Vec<Error>) -> Service {
    let Some(fields) = object(path, value, &["kind", "settings", "models"], errors) else {
        return Service::default();
    };
    let kind = match fields.get("kind") {
        Some(value) => record_error(&join(path, "kind"), kind(value), errors).unwrap_or_default(),
        None => Kind::default(),
    };
    Service {
        kind,
        settings: values(path, fields, errors),
        models: named_items(&join(path, "models"), fields.get("models"), errors, model),
    }
}

fn model(path: &str, value: &Value, errors: &mut Vec<Error>) -> Model {
    let known = ["version", "memory_mb", "settings", "adapters"];
    let Some(fields) = object(path, value, &known, errors) else {
        return Model::default();
    };
    let missing = Value::Null;
    let version = version(fields.get("version").unwrap_or(&missing));
    let memory_mb = memory_mb(fields.get("memory_mb").unwrap_or(&missing));
    let adapters = join(path, "adapters");
    Model {
        version: record_error(&join(path, "version"), version, errors).unwrap_or_default(),
        memory_mb: record_error(&join(path, "memory_mb"), memory_mb, errors).unwrap_or_default(),
        settings: values(path, fields, errors),
        adapters: named_items(&adapters, fields.get("adapters"), errors, adapter),
    }
}

fn adapter(path: &str, value: &Value, errors: &mut Vec<Error>) -> Adapter {
    let Some(fields) = object(path, value, &["settings"], errors) else {
        return Adapter::default();
    };
    Adapter {
        settings: values(path, fields, errors).into(),
    }
}

pub(super) fn kind(value: &Value) -> Result<Kind, String> {
    match value.as_str() {
        Some("engine") => Ok(Kind::Engine),
        Some("plain") => Ok(Kind::Plain),
        _ => Err("expects \"engine\" or \"plain\"".into()),
    }
}

pub(super) fn version(value: &Value) -> Result<Name, String> {
    match value.as_str() {
        Some(text) if name(text).is_ok() => Ok(text.into()),
        _ => Err(format!(
            "expects a version: 1 to {MAX_NAME_BYTES} bytes of text without spaces, '/', ':' or '@'"
        )),
    }
}

pub(super) fn memory_mb(value: &Value) -> Result<u64, String> {
    match value.as_u64() {
        Some(memory_mb @ 1..=MAX_MEMORY_MB) => Ok(memory_mb),
        _ => Err(format!(
            "expects the megabytes that one replica needs, a whole number from 1 to {MAX_MEMORY_MB}"
        )),
    }
}

/// Checks a name. Names occur in paths and in `model:adapter@version`, so they may contain none of
/// the separators.
pub(super) fn name(text: &str) -> Result<(), String> {
    let separator = |c: char| c.is_whitespace() || c.is_control() || "/:@".contains(c);
    if text.is_empty() || text.len() > MAX_NAME_BYTES || text.contains(separator) {
        Err(format!(
            "name {text:?} must have 1 to {MAX_NAME_BYTES} bytes and no spaces, '/', ':' or '@'"
        ))
    } else {
        Ok(())
    }
}

fn values(path: &str, fields: &Map<String, Value>, errors: &mut Vec<Error>) -> Values {
    let mut values = Values::default();
    let Some(value) = fields.get("settings") else {
        return values;
    };
    let Value::Object(settings) = value else {
        errors.push(Error::new(join(path, "settings"), "expects an object"));
        return values;
    };
    for (key, value) in settings {
        record_error(&join(path, key), values.set(key, Some(value)), errors);
    }
    values
}

fn named_items<T>(
    path: &str,
    value: Option<&Value>,
    errors: &mut Vec<Error>,
    read: impl Fn(&str, &Value, &mut Vec<Error>) -> T,
) -> BTreeMap<Name, T> {
    let mut items = BTreeMap::new();
    let Some(value) = value else {
        return items;
    };
    let Value::Object(fields) = value else {
        errors.push(Error::new(path, "expects an object from names to objects"));
        return items;
    };
    for (key, value) in fields {
        let path = join(path, key);
        record_error(&path, name(key), errors);
        items.insert(key.as_str().into(), read(&path, value, errors));
    }
    items
}

fn object<'a>(
    path: &str,
    value: &'a Value,
    known: &[&str],
    errors: &mut Vec<Error>,
) -> Option<&'a Map<String, Value>> {
    let Value::Object(fields) = value else {
        let reason = format!("expects an object with {}", known.join(", "));
        errors.push(Error::new(path, reason));
        return None;
    };
    for key in fields.keys() {
        if !known.contains(&key.as_str()) {
            let mut reason = unknown_name(key, known.iter().copied());
            if Values::default().set(key, None).is_ok() {
                reason = format!("{key:?} is a setting; put it under \"settings\"");
            }
            errors.push(Error::new(join(path, key), reason));
        }
    }
    Some(fields)
}

fn record_error<T>(path: &str, result: Result<T, String>, errors: &mut Vec<Error>) -> Option<T> {
    result
        .map_err(|reason| errors.push(Error::new(path, reason)))
        .ok()
}

/// Appends a segment to a path.
pub(super) fn join(path: &str, segment: &str) -> String {
    if path.is_empty() {
        segment.into()
    } else {
        format!("{path}/{segment}")
    }
}
