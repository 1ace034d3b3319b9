//! Reads and edits the tree by path.

use super::values::unknown_name;
use super::{Error, Model, Service, Tree, Values, read};
use crate::prelude::*;
use serde_json::Value;

record! { data =>
    /// One edit of a settings change.
    pub struct Edit {
        /// A setting such as `services/drafting/models/lime/deadline_ms`, a part of the tree such
        /// as `services/drafting/models/lime` or `.../version`, or empty for the whole tree.
        pub path: String,
        /// The new value; `None` or null removes a service, model or adapter, or makes a setting
        /// inherited. Nothing else can be removed.
        pub value: Option<Value>,
    }
}

/// A parsed path, which identifies a setting or a part of the tree.
#[derive(Clone, Copy, Debug)]
pub(super) enum TreePath<'a> {
    Root,
    Service(&'a str),
    Kind(&'a str),
    Model(&'a str, &'a str),
    Version(&'a str, &'a str),
    Memory(&'a str, &'a str),
    Adapter(&'a str, &'a str, &'a str),
    Setting(Scope<'a>, &'a str),
}

/// The level of the tree that a setting belongs to.
#[derive(Clone, Copy, Debug)]
pub(super) enum Scope<'a> {
    Deployment,
    Service(&'a str),
    Model(&'a str, &'a str),
    Adapter(&'a str, &'a str, &'a str),
}

impl<'a> TreePath<'a> {
    pub(super) fn parse(path: &'a str) -> Result<TreePath<'a>, Error> {
        let segments: Vec<&str> = path.split('/').collect();
        let tree_path = match segments[..] {
            [""] => TreePath::Root,
            ["services", s, ref rest @ ..] => {
                TreePath::parse_in_service(s, rest).ok_or_else(|| unknown_path(path))?
            }
            ["settings", key] | [key] => TreePath::Setting(Scope::Deployment, key),
            _ => return Err(unknown_path(path)),
        };
        Ok(tree_path)
    }

    /// Whether the path identifies a single value, which one edit can set and restore.
    pub(super) fn is_leaf(&self) -> bool {
        match self {
            TreePath::Root | TreePath::Service(_) | TreePath::Model(..) | TreePath::Adapter(..) => {
                false
            }
            TreePath::Kind(_)
            | TreePath::Version(..)
            | TreePath::Memory(..)
            | TreePath::Setting(..) => true,
        }
    }

    /// The canonical spelling, which omits the optional `settings` segment.
    pub(super) fn canonical(&self) -> String {
        let model = |s, m| format!("services/{s}/models/{m}");
        match *self {
            TreePath::Root => String::new(),
            TreePath::Service(s) => format!("services/{s}"),
            TreePath::Kind(s) => format!("services/{s}/kind"),
            TreePath::Model(s, m) => model(s, m),
            TreePath::Version(s, m) => format!("{}/version", model(s, m)),
            TreePath::Memory(s, m) => format!("{}/memory_mb", model(s, m)),
            TreePath::Adapter(s, m, a) => format!("{}/adapters/{a}", model(s, m)),
            TreePath::Setting(Scope::Deployment, key) => key.into(),
            TreePath::Setting(Scope::Service(s), key) => format!("services/{s}/{key}"),
            TreePath::Setting(Scope::Model(s, m), key) => format!("{}/{key}", model(s, m)),
            TreePath::Setting(Scope::Adapter(s, m, a), key) => {
                format!("{}/adapters/{a}/{key}", model(s, m))
            }
        }
    }

    fn parse_in_service(s: &'a str, rest: &[&'a str]) -> Option<TreePath<'a>> {
        match *rest {
            [] => Some(TreePath::Service(s)),
            ["kind"] => Some(TreePath::Kind(s)),
            ["models", m, ref rest @ ..] => TreePath::parse_in_model(s, m, rest),
            ["settings", key] | [key] => Some(TreePath::Setting(Scope::Service(s), key)),
            _ => None,
        }
    }

    fn parse_in_model(s: &'a str, m: &'a str, rest: &[&'a str]) -> Option<TreePath<'a>> {
        match *rest {
            [] => Some(TreePath::Model(s, m)),
            ["version"] => Some(TreePath::Version(s, m)),
            ["memory_mb"] => Some(TreePath::Memory(s, m)),
            ["adapters", a] => Some(TreePath::Adapter(s, m, a)),
            ["adapters", a, "settings", key] | ["adapters", a, key] => {
                Some(TreePath::Setting(Scope::Adapter(s, m, a), key))
            }
            ["settings", key] | [key] => Some(TreePath::Setting(Scope::Model(s, m), key)),
            _ => None,
        }
    }
}

fn unknown_path(path: &str) -> Error {
    let remedy = "no such place; use SETTING, services/S/SETTING, services/S/models/M/SETTING, \
                  services/S/models/M/adapters/A/SETTING, or a part of these";
    Error::new(path, remedy)
}

impl Tree {
    /// The value at a path; `None` if the setting is inherited or the part doesn't exist.
    ///
    /// Returns an error for a malformed path or an unknown setting.
    pub fn get(&self, path: &str) -> Result<Option<Value>, Error> {
        let value = match TreePath::parse(path)? {
            TreePath::Root => json(self),
            TreePath::Service(s) => self.services.get(s).and_then(json),
            TreePath::Kind(s) => self.services.get(s).and_then(|s| json(&s.kind)),
            TreePath::Model(s, m) => self.find_model(s, m).and_then(json),
            TreePath::Version(s, m) => self.find_model(s, m).and_then(|m| json(&m.version)),
            TreePath::Memory(s, m) => self.find_model(s, m).and_then(|m| json(&m.memory_mb)),
            TreePath::Adapter(s, m, a) => {
                let model = self.find_model(s, m);
                model.and_then(|m| m.adapters.get(a)).and_then(json)
            }
            TreePath::Setting(scope, key) => {
                Values::default()
                    .set(key, None)
                    .map_err(|reason| Error::new(path, reason))?;
                self.values(scope).and_then(|v| v.get(key))
            }
        };
        Ok(value)
    }

    /// Applies one edit. On failure, returns every error found and changes nothing.
    ///
    /// Checks only the edited value; [`super::Store`] checks the whole tree.
    pub fn set(&mut self, edit: &Edit) -> Result<(), Vec<Error>> {
        let path = edit.path.as_str();
        let value = edit.value.as_ref().filter(|v| !v.is_null());
        let error_at_path = |reason: String| vec![Error::new(path, reason)];
        match TreePath::parse(path).map_err(|e| vec![e])? {
            TreePath::Root => {
                let value =
                    value.ok_or_else(|| error_at_path("the whole tree can't be removed".into()))?;
                *self = read::tree(value)?;
            }
            TreePath::Service(s) => {
                let service = value.map(|v| read::parse_service(path, v)).transpose()?;
                set_child(&mut self.services, s, service).map_err(error_at_path)?;
            }
            TreePath::Model(s, m) => {
                let model = value.map(|v| read::parse_model(path, v)).transpose()?;
                let service = self.service_mut(path, s)?;
                set_child(&mut service.models, m, model).map_err(error_at_path)?;
            }
            TreePath::Adapter(s, m, a) => {
                let adapter = value.map(|v| read::parse_adapter(path, v)).transpose()?;
                let model = self.model_mut(path, s, m)?;
                set_child(&mut model.adapters, a, adapter).map_err(error_at_path)?;
            }
            TreePath::Kind(s) => {
                let kind = read::kind(value.unwrap_or(&Value::Null)).map_err(error_at_path)?;
                self.service_mut(path, s)?.kind = kind;
            }
            TreePath::Version(s, m) => {
                let version =
                    read::version(value.unwrap_or(&Value::Null)).map_err(error_at_path)?;
                self.model_mut(path, s, m)?.version = version;
            }
            TreePath::Memory(s, m) => {
                let memory_mb =
                    read::memory_mb(value.unwrap_or(&Value::Null)).map_err(error_at_path)?;
                self.model_mut(path, s, m)?.memory_mb = memory_mb;
            }
            TreePath::Setting(scope, key) => {
                let values = self.values_mut(path, scope)?;
                values.set(key, value).map_err(error_at_path)?;
            }
        }
        Ok(())
    }

    fn find_model(&self, service: &str, model: &str) -> Option<&Model> {
        self.services.get(service)?.models.get(model)
    }

    pub(super) fn values(&self, scope: Scope<'_>) -> Option<&Values> {
        match scope {
            Scope::Deployment => Some(&self.settings),
            Scope::Service(s) => Some(&self.services.get(s)?.settings),
            Scope::Model(s, m) => Some(&self.find_model(s, m)?.settings),
            Scope::Adapter(s, m, a) => Some(&*self.find_model(s, m)?.adapters.get(a)?.settings),
        }
    }

    fn values_mut(&mut self, path: &str, scope: Scope<'_>) -> Result<&mut Values, Vec<Error>> {
        match scope {
            Scope::Deployment => Ok(&mut self.settings),
            Scope::Service(s) => Ok(&mut self.service_mut(path, s)?.settings),
            Scope::Model(s, m) => Ok(&mut self.model_mut(path, s, m)?.settings),
            Scope::Adapter(s, m, a) => {
                let adapters = &mut self.model_mut(path, s, m)?.adapters;
                Ok(&mut *child_mut(path, "adapter", a, adapters)?.settings)
            }
        }
    }

    fn service_mut(&mut self, path: &str, service: &str) -> Result<&mut Service, Vec<Error>> {
        child_mut(path, "service", service, &mut self.services)
    }

    fn model_mut(&mut self, path: &str, s: &str, m: &str) -> Result<&mut Model, Vec<Error>> {
        child_mut(path, "model", m, &mut self.service_mut(path, s)?.models)
    }
}

/// The child of this name, or an error that suggests a similar name.
fn child_mut<'a, T>(
    path: &str,
    kind: &str,
    name: &str,
    children: &'a mut BTreeMap<Name, T>,
) -> Result<&'a mut T, Vec<Error>> {
    if !children.contains_key(name) {
        let known = children.keys().map(|k| &**k);
        let reason = format!(
            "no such {kind}: {}; create it first",
            unknown_name(name, known)
        );
        return Err(vec![Error::new(path, reason)]);
    }
    Ok(children.get_mut(name).expect("checked above"))
}

/// Inserts or replaces a named part, or removes it if `part` is `None`.
fn set_child<T>(parts: &mut BTreeMap<Name, T>, name: &str, part: Option<T>) -> Result<(), String> {
    if let Some(part) = part {
        read::name(name)?;
        parts.insert(name.into(), part);
        return Ok(());
    }
    if parts.remove(name).is_none() {
        return Err(unknown_name(name, parts.keys().map(|k| &**k)));
    }
    Ok(())
}

fn json(value: &impl serde::Serialize) -> Option<Value> {
    serde_json::to_value(value).ok()
}
