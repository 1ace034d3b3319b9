//! The replicas and caches of an engine, and how commands change them; without input or output.

use lovageplank_core::backend::{CachedWeights, LoadedReplica, State as LifecycleState};
use lovageplank_core::prelude::*;
use tokio_util::sync::CancellationToken;

use super::command::{Command, Op, Refusal};

/// A replica on this engine.
#[derive(Debug)]
pub struct Replica {
    /// Adapters that are loaded.
    pub adapters: BTreeSet<Name>,
    /// Memory in megabytes, reserved from the start of the load until the unload.
    pub memory_mb: u64,
    /// Fencing token of the last command executed for this replica.
    pub fencing_token: u64,
    /// Whether the load is still in progress.
    pub loading: bool,
    /// Cancelled when the replica is unloaded.
    pub unloaded: CancellationToken,
    /// Cloned into each running or queued request; its reference count gives their number.
    pub request_counter: Arc<()>,
}

/// The work that remains after a command was accepted.
#[derive(Debug)]
pub enum Work {
    /// None: the command is complete.
    Nothing,
    /// Fetch the weights, then call [`State::finish_load`]. An unload cancels the token.
    Load(CancellationToken),
    /// None: the replica was removed.
    Unloaded,
    /// Fetch the adapter, then call [`State::finish_adapter`]. An unload cancels the token.
    Adapter(CancellationToken),
}

/// Limits that a command is checked against.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Accelerator memory in megabytes.
    pub memory_mb: u64,
    /// Memory of a model whose load command has no `memory_mb`, in megabytes.
    pub model_memory_mb: u64,
    /// Whether stale fencing tokens are refused.
    pub fencing: bool,
    /// Whether loads are accepted that need more memory than is free.
    pub ignore_memory: bool,
}

/// The replicas and cached weights of an engine, and the outcomes of its commands.
#[derive(Debug)]
pub struct State {
    /// Lifecycle state; an engine that is leaving accepts no new requests.
    pub lifecycle: LifecycleState,
    /// The role set by the last `set_role` command.
    pub role: Option<Name>,
    /// Models whose weights are cached in main memory, least recently loaded first.
    pub memory_cache: Vec<Name>,
    /// Models whose weights are cached on disk, least recently loaded first.
    pub disk_cache: Vec<Name>,
    replicas: BTreeMap<(Name, Name), Replica>,
    outcomes: BTreeMap<Name, Result<(), Refusal>>,
    highest_tokens: BTreeMap<Name, u64>,
}

impl State {
    /// Creates the state of an engine without replicas.
    pub fn new(memory_cache: Vec<Name>, disk_cache: Vec<Name>) -> State {
        State {
            lifecycle: LifecycleState::Ready,
            role: None,
            memory_cache,
            disk_cache,
            replicas: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            highest_tokens: BTreeMap::new(),
        }
    }

    /// Returns whether a command with this id was already executed or refused.
    pub fn has_outcome(&self, command_id: &Name) -> bool {
        self.outcomes.contains_key(command_id)
    }

    /// Checks a command and applies it to the state. If a command with the same id was already
    /// handled, only returns its earlier outcome.
    pub fn execute(&mut self, command: &Command, limits: Limits) -> Result<Work, Refusal> {
        if let Some(outcome) = self.outcomes.get(&command.command_id) {
            return outcome.clone().map(|()| Work::Nothing);
        }
        let result = self.apply(command, limits);
        let outcome = result.as_ref().map(|_| ()).map_err(Clone::clone);
        self.outcomes.insert(command.command_id.clone(), outcome);
        result
    }

    fn apply(&mut self, command: &Command, limits: Limits) -> Result<Work, Refusal> {
        self.check_token(command, limits)?;
        let replica = command.replica_key();
        let work = match command.op {
            Op::Load => self.load(replica, command, limits),
            Op::Unload => Ok(self.unload(&replica)),
            Op::LoadAdapter => self.load_adapter(&replica, command),
            Op::UnloadAdapter => self.unload_adapter(&replica, command),
            Op::SetRole => {
                self.role.clone_from(&command.role);
                Ok(Work::Nothing)
            }
        }?;
        if let Some(entry) = self.replicas.get_mut(&command.replica_key()) {
            entry.fencing_token = command.fencing_token;
        }
        Ok(work)
    }

    fn check_token(&mut self, command: &Command, limits: Limits) -> Result<(), Refusal> {
        let model = command.model.clone().unwrap_or_default();
        let highest = self.highest_tokens.entry(model).or_default();
        if limits.fencing && command.fencing_token < *highest {
            return Err(Refusal::StaleToken { highest: *highest });
        }
        *highest = command.fencing_token.max(*highest);
        Ok(())
    }

    fn load(
        &mut self,
        replica: (Name, Name),
        command: &Command,
        limits: Limits,
    ) -> Result<Work, Refusal> {
        if self.replicas.contains_key(&replica) {
            return Ok(Work::Nothing);
        }
        let memory_mb = command.memory_mb.unwrap_or(limits.model_memory_mb);
        let free_mb = limits.memory_mb.saturating_sub(self.used_mb());
        if memory_mb > free_mb && !limits.ignore_memory {
            return Err(Refusal::OutOfMemory { memory_mb, free_mb });
        }
        let unloaded = CancellationToken::new();
        let entry = Replica {
            adapters: BTreeSet::new(),
            memory_mb,
            fencing_token: command.fencing_token,
            loading: true,
            unloaded: unloaded.clone(),
            request_counter: Arc::default(),
        };
        self.replicas.insert(replica, entry);
        Ok(Work::Load(unloaded))
    }

    fn unload(&mut self, replica: &(Name, Name)) -> Work {
        match self.replicas.remove(replica) {
            Some(entry) => {
                entry.unloaded.cancel();
                Work::Unloaded
            }
            None => Work::Nothing,
        }
    }

    fn load_adapter(&mut self, replica: &(Name, Name), command: &Command) -> Result<Work, Refusal> {
        let adapter = command.adapter.clone().unwrap_or_default();
        let entry = self.replicas.get(replica).ok_or(Refusal::NotLoaded)?;
        if entry.adapters.contains(&adapter) {
            return Ok(Work::Nothing);
        }
        Ok(Work::Adapter(entry.unloaded.clone()))
    }

    fn unload_adapter(
        &mut self,
        replica: &(Name, Name),
        command: &Command,
    ) -> Result<Work, Refusal> {
        let adapter = command.adapter.clone().unwrap_or_default();
        let entry = self.replicas.get_mut(replica).ok_or(Refusal::NotLoaded)?;
        entry.adapters.remove(&adapter);
        Ok(Work::Nothing)
    }

    /// Marks a replica as loaded; returns false if it was unloaded in the meantime.
    pub fn finish_load(&mut self, replica: &(Name, Name), load: &CancellationToken) -> bool {
        match self.replicas.get_mut(replica) {
            Some(entry) if !load.is_cancelled() => {
                entry.loading = false;
                true
            }
            _ => false,
        }
    }

    /// Removes a replica whose load failed; returns false if it was already removed.
    pub fn fail_load(&mut self, replica: &(Name, Name), load: &CancellationToken) -> bool {
        !load.is_cancelled() && self.replicas.remove(replica).is_some()
    }

    /// Marks an adapter as loaded; returns false if the replica was unloaded in the meantime or had
    /// the adapter already.
    pub fn finish_adapter(
        &mut self,
        replica: &(Name, Name),
        adapter: Name,
        load: &CancellationToken,
    ) -> bool {
        match self.replicas.get_mut(replica) {
            Some(entry) if !load.is_cancelled() => entry.adapters.insert(adapter),
            _ => false,
        }
    }

    /// Returns a loaded replica of a model: of the given version, or of the last version in string
    /// order if none is given.
    pub fn find(&self, model: &str, version: Option<&str>) -> Option<(&(Name, Name), &Replica)> {
        self.replicas
            .iter()
            .rfind(|((name, replica_version), replica)| {
                &**name == model
                    && !replica.loading
                    && version.is_none_or(|version| &**replica_version == version)
            })
    }

    /// Removes all replicas and returns their models and versions.
    pub fn take_replicas(&mut self) -> Vec<(Name, Name)> {
        std::mem::take(&mut self.replicas).into_keys().collect()
    }

    /// Returns the memory used by all replicas, in megabytes.
    pub fn used_mb(&self) -> u64 {
        self.replicas.values().map(|entry| entry.memory_mb).sum()
    }

    /// Returns the replicas as an announcement lists them.
    pub fn loaded(&self) -> Vec<LoadedReplica> {
        self.replicas
            .iter()
            .map(|((model, version), entry)| LoadedReplica {
                model: model.clone(),
                version: version.clone(),
                adapters: entry.adapters.clone(),
                memory_mb: entry.memory_mb,
                fencing_token: entry.fencing_token,
                loading: entry.loading,
                running: u32::try_from(Arc::strong_count(&entry.request_counter) - 1)
                    .unwrap_or(u32::MAX),
            })
            .collect()
    }

    /// Returns the cached weights as an announcement lists them.
    pub fn cached(&self) -> CachedWeights {
        CachedWeights {
            memory: self.memory_cache.iter().cloned().collect(),
            disk: self.disk_cache.iter().cloned().collect(),
        }
    }

    /// Adds a model's weights to the caches in main memory and on disk, and evicts the least
    /// recently loaded weights beyond the given numbers of slots.
    pub fn cache_weights(&mut self, model: &Name, memory_slots: usize, disk_slots: usize) {
        move_to_end(&mut self.memory_cache, model, memory_slots);
        move_to_end(&mut self.disk_cache, model, disk_slots);
    }
}

/// Moves or adds a model to the end of a list, and removes the first ones beyond `slots`.
fn move_to_end(list: &mut Vec<Name>, model: &Name, slots: usize) {
    list.retain(|cached| cached != model);
    list.push(model.clone());
    let surplus = list.len().saturating_sub(slots);
    list.drain(..surplus);
}
