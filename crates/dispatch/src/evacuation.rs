//! Evacuated availability zones: nothing is started at their upstreams until they are taken back.

use state::name;

/// Asks for a zone to be evacuated or taken back.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Order {
    /// The zone.
    pub zone: name::Name,
    /// Whether it is to be evacuated.
    pub evacuated: bool,
    /// Revision of the set that the order was given on. A copy that arrives after later changes is
    /// stale and has no effect.
    pub base: u64,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The zone is as the order asks.
    Held,
    /// The set has changed since the order was given.
    Stale,
}

/// The evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Evacuations {
    /// Rises with each change; the highest is in force.
    pub revision: u64,
    /// The zones, in the order in which they were evacuated.
    pub zones: smallvec::SmallVec<[name::Name; 1]>,
}

impl Evacuations {
    /// Whether a zone is evacuated.
    ///
    /// ```
    /// use dispatch::evacuation;
    ///
    /// let mut held = evacuation::Evacuations::default();
    /// let order = evacuation::Order { zone: "west".into(), evacuated: true, base: 0 };
    /// assert_eq!(held.apply(&order), evacuation::Outcome::Held);
    /// assert!(held.has(&"west".into()) && !held.has(&"east".into()));
    /// ```
    pub fn has(&self, zone: &name::Name) -> bool {
        self.zones.contains(zone)
    }

    /// Carries out an order. One that asks for what holds already is held whatever its base.
    pub fn apply(&mut self, order: &Order) -> Outcome {
        if self.has(&order.zone) == order.evacuated {
            return Outcome::Held;
        }
        if order.base != self.revision {
            return Outcome::Stale;
        }
        self.revision += 1;
        if order.evacuated {
            self.zones.push(order.zone.clone());
        } else {
            self.zones.retain(|zone| *zone != order.zone);
        }
        Outcome::Held
    }

    /// The zones, for people.
    pub fn names(&self) -> String {
        let names: Vec<_> = self.zones.iter().map(name::Name::as_str).collect();
        names.join(" ")
    }
}
