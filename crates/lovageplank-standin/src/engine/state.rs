//! What an engine holds, and how commands change it; free of input and output.

use lovageplank_core::backend::{CachedWeights, LoadedReplica, State as LifecycleState};
use lovageplank_core::prelude::*;
use tokio_util::sync::CancellationToken;

use super::command::{Command, Op, Refusal};

/// A replica on this engine.
#[derive(Debug)]
pub struct Replica {
    /// Adapters that can serve.
    pub adapters: BTreeSet<Name>,
    /// Memory that it holds, in megabytes; from the start of its load to its unload.
    pub memory_mb: u64,
    /// Token of the last command executed for it.
    pub fencing_token: u64,
    /// Whether the load is still going on.
    pub loading: bool,
    /// Cancelled by the unload.
    pub unloaded: CancellationToken,
    /// Held by each request that runs or queues on it; counts them.
    pub request_counter: Arc<()>,
}

/// What has to be done after a command was accepted.
#[derive(Debug)]
pub enum Work {
    /// Nothing: the state is as the command wants it.
    Nothing,
    /// The weights have to be fetched; then `finish_load` is due.
    Load(CancellationToken),
    /// The replica is gone already.
    Unloaded,
    /// The adapter has to be fetched; then `finish_adapter` is due.
    Adapter(CancellationToken),
}

/// Limits that hold while a command is judged.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Accelerator memory in megabytes.
    pub memory_mb: u64,
    /// Memory of a model whose command names none, in megabytes.
    pub model_memory_mb: u64,
    /// Whether old fencing tokens are refused.
    pub fencing: bool,
    /// Whether loads that don't fit are accepted.
    pub ignore_memory: bool,
}

/// Replicas by model and version, and what commands were seen.
#[derive(Debug)]
pub struct State {
    /// Whether the engine takes new work.
    pub lifecycle: LifecycleState,
    /// The role that `set_role` gave.
    pub role: Option<Name>,
    /// Weights cached near the engine; oldest first.
    pub memory_cache: Vec<Name>,
    /// Weights cached on disk; oldest first.
    pub disk_cache: Vec<Name>,
    replicas: BTreeMap<(Name, Name), Replica>,
    outcomes: BTreeMap<Name, Result<(), Refusal>>,
    highest_tokens: BTreeMap<Name, u64>,
}

impl State {
    /// An engine with no replica.
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

    /// Returns whether a command of this id was judged before.
    pub fn has_outcome(&self, command_id: &Name) -> bool {
        self.outcomes.contains_key(command_id)
    }

    /// Judges a command and takes its first step; a command seen before only repeats its outcome.
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

    /// Makes a loaded replica serve; false if it was unloaded meanwhile.
    pub fn finish_load(&mut self, replica: &(Name, Name), load: &CancellationToken) -> bool {
        match self.replicas.get_mut(replica) {
            Some(entry) if !load.is_cancelled() => {
                entry.loading = false;
                true
            }
            _ => false,
        }
    }

    /// Forgets a replica whose load failed; false if it was gone already.
    pub fn fail_load(&mut self, replica: &(Name, Name), load: &CancellationToken) -> bool {
        !load.is_cancelled() && self.replicas.remove(replica).is_some()
    }

    /// Makes an adapter serve; false if the replica was unloaded meanwhile.
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

    /// Returns a replica that can serve a model, of the given version or else the highest.
    pub fn find(&self, model: &str, version: Option<&str>) -> Option<(&(Name, Name), &Replica)> {
        self.replicas
            .iter()
            .rfind(|((name, replica_version), replica)| {
                &**name == model
                    && !replica.loading
                    && version.is_none_or(|version| &**replica_version == version)
            })
    }

    /// Forgets all replicas and returns their models and versions.
    pub fn take_replicas(&mut self) -> Vec<(Name, Name)> {
        std::mem::take(&mut self.replicas).into_keys().collect()
    }

    /// Returns the memory that replicas hold, in megabytes.
    pub fn used_mb(&self) -> u64 {
        self.replicas.values().map(|entry| entry.memory_mb).sum()
    }

    /// Returns the replicas in the shape of an announcement.
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

    /// Returns the cached weights in the shape of an announcement.
    pub fn cached(&self) -> CachedWeights {
        CachedWeights {
            memory: self.memory_cache.iter().cloned().collect(),
            disk: self.disk_cache.iter().cloned().collect(),
        }
    }

    /// Notes that a model's weights passed through main memory and disk.
    pub fn cache_weights(&mut self, model: &Name, memory_slots: usize, disk_slots: usize) {
        move_to_end(&mut self.memory_cache, model, memory_slots);
        move_to_end(&mut self.disk_cache, model, disk_slots);
    }
}

/// Moves a model to the end of a list of limited length.
fn move_to_end(list: &mut Vec<Name>, model: &Name, slots: usize) {
    list.retain(|cached| cached != model);
    list.push(model.clone());
    let surplus = list.len().saturating_sub(slots);
    list.drain(..surplus);
}
