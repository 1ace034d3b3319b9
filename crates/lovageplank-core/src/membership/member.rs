//! Members and the events of the membership table.

use crate::backend::{self, Announcement, State};
use crate::prelude::*;
use crate::view;

record! { copy =>
    /// Kind of member.
    #[serde(rename_all = "snake_case")]
    pub enum Role {
        /// Router: takes callers' requests.
        Router,
        /// Engine: a backend server that runs models.
        Engine,
        /// Plain service: a backend server for calls that involve no model.
        Service,
    }
}

record! { key =>
    /// A member as it announced itself.
    pub struct Member {
        /// Unique name.
        pub id: Name,
        /// Incarnation; a higher one of the same name replaces this one.
        pub incarnation: u64,
        /// Kind of member.
        pub role: Role,
        /// Address as `ip:port`.
        pub address: Name,
        /// Failure domain.
        pub failure_domain: Name,
        /// Services that the member serves; empty for routers.
        pub services: BTreeSet<Name>,
        /// Whether the member takes new work.
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

    /// The member as a backend server in the routers' view; `None` for a router.
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

    /// The member as an instance that callers may be sent to; `None` for a backend server.
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
    /// A change of a member in the membership table.
    pub enum Event {
        /// The member joined. It may get work, unless it is already leaving.
        Joined(Member),
        /// The member's data changed, for example because it is leaving.
        Changed(Member),
        /// A leaving member was removed: its lease expired, it announced a new incarnation, or
        /// another member took its address.
        Left {
            /// Name of the member.
            id: Name,
            /// Incarnation that left.
            incarnation: u64,
        },
        /// A member that was not leaving was removed, for one of the same reasons.
        Lost {
            /// Name of the member.
            id: Name,
            /// Incarnation that was lost.
            incarnation: u64,
        },
    }
}
