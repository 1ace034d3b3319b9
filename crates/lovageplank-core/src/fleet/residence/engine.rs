//! What is known of one engine.

mod progress;

use super::SILENT_MS;
use super::command::{Command, Op};
use crate::fleet::deployment;
use crate::fleet::message::Holding;
use crate::fleet::registry::{Announcement, Copies, Held, Stage};
use crate::prelude::*;

/// Milliseconds after an adapter's load was accepted until it can be counted on.
const ADAPTER_MS: Millis = 14;
/// Milliseconds for which callers are told that a model leaves before it is unloaded.
const WITHDRAWN_MS: Millis = 30;
/// Milliseconds after a withdrawal from which what entry instances tell takes it into account.
const TOLD_MS: Millis = 15;
/// Milliseconds after which a goal that has got nowhere is given up.
const GOAL_MS: Millis = 20_000;
/// Milliseconds after which somebody else's command can only be a load from the store: all others
/// are over.
const STORE_BUSY_MS: Millis = 2_000;
/// Milliseconds after a command for which an engine's announcements may tell of before.
const ANNOUNCED_LATE_MS: Millis = 4_000;

record! { key =>
    /// What an engine reports when it is asked.
    pub struct Report {
        /// Its incarnation.
        pub born_ms: u64,
        /// Commands that it has accepted in this incarnation.
        pub commands: u64,
        /// Whether a load or unload of a model is in progress.
        pub busy: bool,
        /// What it holds.
        pub held: Vec<Held>,
        /// Models and adapters whose adapters are on their way.
        pub coming: Vec<(Name, Name)>,
        /// Copies of weights; `None` if it doesn't say.
        pub copies: Option<Copies>,
    }
}

/// A model to bring in, and what has to go first.
#[derive(Clone, Debug)]
pub(super) struct Goal {
    pub(super) model: Name,
    pub(super) victims: Vec<Name>,
    pub(super) since: Millis,
    /// If the model comes from the store, how many do when it begins, itself included.
    pub(super) store_loads: Option<usize>,
}

/// A load from the store.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoreLoad {
    pub(super) since: Millis,
    /// Milliseconds that it takes at the least.
    pub(super) alone_ms: Millis,
    /// Loads from the store when it began, itself included.
    pub(super) together: usize,
}

/// A command that was sent and is not over.
#[derive(Clone, Debug)]
pub(super) struct Open {
    pub(super) command: Command,
    pub(super) sent_at: Millis,
    /// Whether an answer is awaited.
    pub(super) in_flight: bool,
    pub(super) accepted: bool,
    /// When a load should be over.
    pub(super) ready_at: Millis,
}

/// One incarnation of an engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) service: Name,
    pub(super) born_ms: u64,
    pub(super) address: Name,
    pub(super) ready: bool,
    pub(super) heard_at: Millis,
    pub(super) polled_at: Millis,
    /// Commands that it has accepted; `None` until its first report.
    pub(super) commands: Option<u64>,
    /// What it holds now; exact while no command is open.
    pub(super) held: BTreeMap<Name, Holds>,
    pub(super) copies: Copies,
    pub(super) goal: Option<Goal>,
    pub(super) open: Option<Open>,
    /// Adapter commands to send, oldest first.
    pub(super) adapter_commands: Vec<Op>,
    pub(super) not_before: Millis,
    /// Until when a conflict may mean just that the last unload is still in progress.
    unloads_until: Millis,
    /// Since when somebody else's command has been in progress.
    busy_since: Option<Millis>,
    /// Reports asked for earlier may tell of a state that is known to be over.
    report_from: Millis,
    pub(super) running: BTreeMap<(Name, Option<Name>), u32>,
    changed_at: Millis,
    stale: bool,
    reported: bool,
}

/// A model that is held.
#[derive(Clone, Debug, Default)]
pub(super) struct Holds {
    pub(super) version: u64,
    /// Adapters, with the time from which each can be counted on.
    pub(super) adapters: BTreeMap<Name, Millis>,
    /// Adapters that were commanded away while requests used them; their places are still taken.
    pub(super) leaving: BTreeSet<Name>,
    /// When it was last needed or loaded.
    pub(super) used_at: Millis,
}

impl Engine {
    pub(super) fn new(now: Millis, said: &Announcement) -> Engine {
        let mut engine = Engine {
            service: said.service.clone(),
            born_ms: said.born_ms,
            address: said.address.clone(),
            ready: said.stage == Stage::Ready,
            heard_at: now,
            polled_at: 0,
            commands: None,
            held: BTreeMap::new(),
            copies: said.copies.clone(),
            goal: None,
            open: None,
            adapter_commands: Vec::new(),
            not_before: 0,
            unloads_until: 0,
            busy_since: None,
            report_from: 0,
            running: BTreeMap::new(),
            changed_at: 0,
            stale: false,
            reported: false,
        };
        engine.set_held(now, &said.held);
        engine
    }

    pub(super) fn announced(&mut self, now: Millis, said: &Announcement) {
        if said.born_ms != self.born_ms {
            return;
        }
        self.heard_at = now;
        self.ready = self.ready && said.stage == Stage::Ready;
        self.add_copies(&said.copies);
        let settled = self.open.is_none() && now >= self.changed_at + ANNOUNCED_LATE_MS;
        let unknown = said.held.iter().any(|h| !self.held.contains_key(&h.model));
        if settled && (unknown || self.held.len() > said.held.len()) {
            self.stale = true;
        }
    }

    /// Whether its report would tell something that is needed.
    pub(super) fn needs_report(&self, now: Millis) -> bool {
        if now >= self.heard_at + SILENT_MS {
            return false;
        }
        match &self.open {
            None => now >= self.report_from && (self.stale || self.commands.is_none()),
            Some(open) if open.accepted => now >= open.ready_at,
            Some(open) => !open.in_flight,
        }
    }

    /// Whether it takes requests and has been heard lately.
    pub(super) fn is_alive(&self, now: Millis) -> bool {
        self.ready && now < self.heard_at + SILENT_MS
    }

    /// Whether commands may be sent to it.
    pub(super) fn takes_orders(&self, now: Millis) -> bool {
        self.is_alive(now)
            && self.commands.is_some()
            && self.open.is_none()
            && now >= self.not_before
    }

    /// Whether what it holds is known.
    pub(super) fn is_known(&self) -> bool {
        self.commands.is_some()
    }

    /// Whether it has reported in this incarnation.
    pub(super) fn reported_before(&self) -> bool {
        self.reported
    }

    /// Opens the next command.
    pub(super) fn command(&mut self, now: Millis, id: &Name, op: Op, lasts_ms: Millis) -> Command {
        let command = Command {
            server: id.clone(),
            born_ms: self.born_ms,
            address: self.address.clone(),
            expected: self.commands.unwrap_or_default(),
            op,
        };
        self.open = Some(Open {
            command: command.clone(),
            sent_at: now,
            in_flight: true,
            accepted: false,
            ready_at: now + lasts_ms,
        });
        command
    }

    pub(super) fn holding(&self, id: &Name, now: Millis) -> Holding {
        let leaving = |model: &Name| {
            let victim = self
                .goal
                .as_ref()
                .is_some_and(|g| g.victims.contains(model));
            let unloads = self
                .open
                .as_ref()
                .is_some_and(|o| o.command.op == Op::Unload(model.clone()));
            victim || unloads
        };
        let held = self.held.iter().filter(|(model, _)| !leaving(model));
        let held = held.map(|(model, holds)| Held {
            model: model.clone(),
            version: holds.version,
            adapters: holds
                .adapters
                .iter()
                .filter(|(adapter, from)| now >= **from && !holds.leaving.contains(*adapter))
                .map(|(adapter, _)| adapter.clone())
                .collect(),
        });
        let coming = self
            .goal
            .iter()
            .map(|goal| (goal.model.clone(), self.left_ms(now)));
        Holding {
            server: id.clone(),
            born_ms: self.born_ms,
            held: held.collect(),
            coming: coming.collect(),
        }
    }

    /// Whether the goal's victims have been withdrawn from callers for long enough, and all entry
    /// instances have told since then what they still have running.
    pub(super) fn withdrawn(&self, now: Millis, told_from: Millis) -> bool {
        self.goal.as_ref().is_some_and(|goal| {
            now >= goal.since + WITHDRAWN_MS && told_from >= goal.since + TOLD_MS
        })
    }

    /// Drops a goal that is reached or got nowhere.
    pub(super) fn expire_goal(&mut self, now: Millis) {
        let over = self
            .goal
            .as_ref()
            .is_some_and(|goal| now >= goal.since + GOAL_MS || self.held.contains_key(&goal.model));
        if over && self.open.is_none() {
            self.goal = None;
        }
    }

    /// Megabytes of what it holds.
    pub(super) fn used_mb(&self, spec: &deployment::Engine) -> f64 {
        let of = |(model, holds): (&Name, &Holds)| {
            let Some(model) = spec.models.get(model) else {
                return 0.0;
            };
            #[allow(clippy::cast_precision_loss)] // A few adapters.
            let adapters = holds.adapters.len() as f64;
            model.weights_mb + adapters * model.adapter_mb
        };
        self.held.iter().map(of).sum()
    }

    /// Adapters of all models.
    pub(super) fn adapters(&self) -> usize {
        self.held.values().map(|h| h.adapters.len()).sum()
    }

    /// Requests that run a model, with and without adapters.
    pub(super) fn running(&self, model: &str) -> u32 {
        self.running
            .iter()
            .filter(|((m, _), _)| &**m == model)
            .map(|(_, n)| n)
            .sum()
    }

    /// Requests that use an adapter.
    pub(super) fn running_adapter(&self, model: &Name, adapter: &Name) -> u32 {
        let key = (model.clone(), Some(adapter.clone()));
        self.running.get(&key).copied().unwrap_or_default()
    }

    /// Requests of all models.
    pub(super) fn running_total(&self) -> u32 {
        self.running.values().sum()
    }

    /// Whether it brings a model in from the store, as far as can be told: an earlier leader's load
    /// shows only by how long it takes.
    pub(super) fn loads_from_store(&self, now: Millis) -> bool {
        let own = self.goal.as_ref().is_some_and(|g| g.store_loads.is_some());
        own || self
            .busy_since
            .is_some_and(|since| now >= since + STORE_BUSY_MS)
    }

    /// The load from the store that it carries out.
    pub(super) fn store_load(&self) -> Option<StoreLoad> {
        let open = self.open.as_ref()?;
        let together = self.goal.as_ref()?.store_loads?;
        let loads = matches!(open.command.op, Op::Load(_));
        loads.then(|| StoreLoad {
            since: open.sent_at,
            alone_ms: open.ready_at - open.sent_at,
            together,
        })
    }

    /// Milliseconds that the open command still takes.
    pub(super) fn left_ms(&self, now: Millis) -> u64 {
        let open = self.open.as_ref();
        open.map_or(0, |o| o.ready_at.saturating_sub(now))
    }

    fn add_copies(&mut self, copies: &Copies) {
        if !copies.disk.is_empty() || !copies.memory.is_empty() {
            self.copies = copies.clone();
        }
    }

    fn set_held(&mut self, now: Millis, held: &[Held]) {
        let mut before = std::mem::take(&mut self.held);
        for held in held {
            let new = || Holds {
                used_at: now,
                ..Holds::default()
            };
            let old = before.remove(&held.model).unwrap_or_else(new);
            let adapters = held.adapters.iter().map(|a| {
                let from = old.adapters.get(a).copied().unwrap_or(now);
                (a.clone(), from)
            });
            let leaving = held.adapters.intersection(&old.leaving);
            let holds = Holds {
                version: held.version,
                adapters: adapters.collect(),
                leaving: leaving.cloned().collect(),
                used_at: old.used_at,
            };
            self.held.insert(held.model.clone(), holds);
        }
    }
}
