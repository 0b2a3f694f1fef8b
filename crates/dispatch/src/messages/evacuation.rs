//! Evacuated availability zones: no tasks are started at their upstreams until the evacuation is
//! reverted.

use state::name;

/// A request of the operator to evacuate a zone or to revert its evacuation, as a keeper read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The zone.
    pub zone: name::Name,
    /// Whether the zone is to be evacuated; false reverts an evacuation.
    pub evacuated: bool,
    /// Number of the challenge that it meets, if its sender was redirected.
    pub challenge: Option<u64>,
    /// For how long its connection had been open when it was read, in milliseconds.
    pub opened: u64,
}

/// An order to evacuate a zone or to revert its evacuation.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Order {
    /// The zone.
    pub zone: name::Name,
    /// Whether the zone is to be evacuated; false reverts an evacuation.
    pub evacuated: bool,
    /// Revision of the set of evacuated zones that the order is based on. A copy of the order that
    /// arrives after later changes is stale and has no effect.
    pub base: u64,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The zone is in the state that the order asks for.
    InForce,
    /// The set of evacuated zones has changed since the order was given.
    Stale,
}

/// The set of evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Evacuations {
    /// Revision of the set: it rises with each change, and the set with the highest one is in
    /// force.
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
    /// assert_eq!(held.apply(&order), evacuation::Outcome::InForce);
    /// assert!(held.has(&"west".into()) && !held.has(&"east".into()));
    /// ```
    pub fn has(&self, zone: &name::Name) -> bool {
        self.zones.contains(zone)
    }

    /// Applies an order. The result of an order that asks for the present state of the zone is
    /// [`Outcome::InForce`], whatever the order's base is.
    pub fn apply(&mut self, order: &Order) -> Outcome {
        if self.has(&order.zone) == order.evacuated {
            return Outcome::InForce;
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
        Outcome::InForce
    }

    /// Applies an order if it is based on the present revision. It raises the revision even if it
    /// asks for the present state, so that no earlier order takes effect after it.
    ///
    /// ```
    /// use dispatch::evacuation;
    ///
    /// let mut held = evacuation::Evacuations::default();
    /// let order = |evacuated| evacuation::Order { zone: "west".into(), evacuated, base: 0 };
    /// assert_eq!(held.apply_on_base(&order(false)), evacuation::Outcome::InForce);
    /// assert_eq!(held.apply_on_base(&order(true)), evacuation::Outcome::Stale);
    /// ```
    pub fn apply_on_base(&mut self, order: &Order) -> Outcome {
        if order.base != self.revision {
            return Outcome::Stale;
        }
        self.revision += 1;
        self.zones.retain(|zone| *zone != order.zone);
        if order.evacuated {
            self.zones.push(order.zone.clone());
        }
        Outcome::InForce
    }

    /// Names of the zones, separated by spaces, for display.
    pub fn names(&self) -> String {
        let names: Vec<_> = self.zones.iter().map(name::Name::as_str).collect();
        names.join(" ")
    }
}
