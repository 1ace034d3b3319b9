//! Members and what happens to them.

use crate::backend::{self, Announcement, State};
use crate::prelude::*;
use crate::view;

record! { copy =>
    /// What a member does.
    #[serde(rename_all = "snake_case")]
    pub enum Role {
        /// Takes callers' requests.
        Router,
        /// Serves models.
        Engine,
        /// Serves calls that involve no model.
        Service,
    }
}

record! { key =>
    /// A member as it announced itself.
    pub struct Member {
        /// Its unique name.
        pub id: Name,
        /// Its incarnation.
        pub incarnation: u64,
        /// What it does.
        pub role: Role,
        /// `ip:port`.
        pub address: Name,
        /// Its failure domain.
        pub failure_domain: Name,
        /// Services that it serves; empty for routers.
        pub services: BTreeSet<Name>,
        /// Whether it takes new work.
        pub state: State,
    }
}

impl Member {
    /// A ready member without failure domain and services.
    pub fn new(
        id: impl Into<Name>,
        incarnation: u64,
        role: Role,
        address: impl Into<Name>,
    ) -> Member {
        Member {
            id: id.into(),
            incarnation,
            role,
            address: address.into(),
            failure_domain: "".into(),
            services: BTreeSet::new(),
            state: State::Ready,
        }
    }

    /// The member as routers see a backend server; `None` for a router.
    pub fn backend(&self) -> Option<view::Backend> {
        let kind = match self.role {
            Role::Router => return None,
            Role::Engine => backend::Kind::Engine,
            Role::Service => backend::Kind::Service,
        };
        Some(view::Backend {
            id: self.id.clone(),
            incarnation: self.incarnation,
            address: self.address.clone(),
            kind,
            failure_domain: self.failure_domain.clone(),
            services: self.services.clone(),
            state: self.state,
        })
    }

    /// The member as callers may be sent to it; `None` for a backend server.
    pub fn instance(&self) -> Option<view::Instance> {
        (self.role == Role::Router).then(|| view::Instance {
            id: self.id.clone(),
            address: self.address.clone(),
            failure_domain: self.failure_domain.clone(),
            state: self.state,
        })
    }
}

impl From<&Announcement> for Member {
    fn from(announcement: &Announcement) -> Member {
        Member {
            id: announcement.id.clone(),
            incarnation: announcement.incarnation,
            role: match announcement.kind {
                backend::Kind::Engine => Role::Engine,
                backend::Kind::Service => Role::Service,
            },
            address: announcement.address.clone(),
            failure_domain: announcement.failure_domain.clone(),
            services: announcement.services.clone(),
            state: announcement.state,
        }
    }
}

record! { key =>
    /// What happened to a member.
    pub enum Event {
        /// It may get work, unless it is leaving already.
        Joined(Member),
        /// It announced something new, such as that it is leaving.
        Changed(Member),
        /// It fell silent after it was leaving, or returned in a new incarnation.
        Left {
            /// Its name.
            id: Name,
            /// Its incarnation.
            incarnation: u64,
        },
        /// It fell silent, returned in a new incarnation, or its address has a new owner.
        Lost {
            /// Its name.
            id: Name,
            /// Its incarnation.
            incarnation: u64,
        },
    }
}
