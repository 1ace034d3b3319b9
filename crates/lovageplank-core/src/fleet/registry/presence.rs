//! Whether an incarnation of a server has left, by the numbers of its announcements.
//!
//! A server may be taken for gone by mistake, for example because the word that its previous incarnation has left was
//! read late. It goes on with its announcements then, and is readmitted. Both are dated by the number of an announcement,
//! and only the latest of each counts: so processes that hear of them in any order, and repeatedly, agree in the end.

use super::announcement;
use crate::prelude::*;

record! { copy =>
    /// Departure and readmission of an incarnation.
    #[derive(Default)]
    pub struct Presence {
        /// Newest announcement that was known when the incarnation left; none if it hasn't left.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub departed_at: Option<u64>,
        /// The announcement with which it was readmitted; none if it wasn't.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub readmitted_at: Option<u64>,
    }
}

impl Presence {
    /// Whether the incarnation has neither left nor been readmitted.
    pub fn is_plain(&self) -> bool {
        *self == Presence::default()
    }

    /// Whether the incarnation has left, and wasn't readmitted with a later announcement.
    pub fn is_gone(self) -> bool {
        self.departed_at.is_some() && self.readmitted_at <= self.departed_at
    }

    /// Records a departure.
    pub fn depart(&mut self, number: u64) {
        self.departed_at = self.departed_at.max(Some(number));
    }

    /// The latest of what either says.
    #[must_use]
    pub fn merge(self, other: Presence) -> Presence {
        Presence {
            departed_at: self.departed_at.max(other.departed_at),
            readmitted_at: self.readmitted_at.max(other.readmitted_at),
        }
    }
}

record! { copy =>
    /// The departure of an incarnation of a server.
    pub struct Departure {
        /// The incarnation that has left.
        pub incarnation: u64,
        /// Number of its newest announcement that was known then; 0 if none was.
        pub number: u64,
    }
}

impl Departure {
    /// Says why this can't be the departure of a backend server, as for [announcements](super::Announcement::check). It would hold for all
    /// later incarnations.
    pub fn check(&self) -> Result<(), &'static str> {
        announcement::check_order(self.incarnation, self.number)
    }
}
