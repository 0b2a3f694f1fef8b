//! The configurations that the operators of a soak run send, valid and invalid ones.

use std::{collections, sync};

use rand::{RngExt as _, rngs::SmallRng};

use crate::system::{self, HOST};

/// A second service, to which routes move and from which they move back.
pub const OTHER_SERVICE: &str = "vault";
/// Least and greatest number of routes of a configuration.
const ROUTES: std::ops::Range<usize> = 100..400;

/// The services by path prefix, which is what clients can observe of a configuration.
pub type Routes = collections::BTreeMap<String, &'static str>;

/// What a configuration may contain.
#[derive(Clone, Copy, Debug)]
pub struct Scope {
    /// Numbers with as many digits as a double has.
    pub long_numbers: bool,
    /// Invalid ones of a wrong type in a field that this product does not use.
    pub unused_fields: bool,
}

/// A configuration as it is sent.
#[derive(Clone, Debug)]
pub struct Content {
    pub version: u64,
    pub text: sync::Arc<str>,
    pub routes: sync::Arc<Routes>,
}

#[derive(Clone, Debug)]
struct Route {
    prefix: String,
    service: &'static str,
    timeout: u64,
    stretch: String,
}

/// Derives each configuration from the one before.
#[derive(Debug)]
pub struct Generator {
    rng: SmallRng,
    scope: Scope,
    routes: Vec<Route>,
    next: u64,
}

impl Generator {
    /// Creates a generator; its first configuration has some hundred routes.
    pub fn new(rng: SmallRng, scope: Scope) -> Self {
        let mut generator = Self { rng, scope, routes: Vec::new(), next: 0 };
        for _ in 0..generator.rng.random_range(ROUTES) {
            generator.add();
        }
        generator
    }

    /// Returns the next configuration and the prefixes whose routes it changes.
    pub fn next(&mut self, version: u64) -> (Content, Vec<String>) {
        /// Number of routes that a large change adds or removes.
        const MANY: std::ops::Range<usize> = 24..60;
        let count = self.rng.random_range(1..5);
        let mut changed: Vec<_> = (0..count).map(|_| self.change()).collect();
        let many = self.rng.random_range(MANY);
        match self.rng.random_range(0..12) {
            0 if self.routes.len() + many < ROUTES.end => {
                changed.extend((0..many).map(|_| self.add()));
            }
            1 if self.routes.len() > ROUTES.start + many => {
                changed.extend((0..many).map(|_| self.remove()));
            }
            _ => {}
        }
        (self.content(version), changed)
    }

    /// Returns a configuration with the same routes except for one more.
    pub fn variant(&mut self, version: u64) -> Content {
        let routes = self.routes.clone();
        self.add();
        let content = self.content(version);
        self.routes = routes;
        content
    }

    fn change(&mut self) -> String {
        let at = self.rng.random_range(0..self.routes.len());
        match self.rng.random_range(0..5) {
            0 if self.routes.len() < ROUTES.end => self.add(),
            1 if self.routes.len() > ROUTES.start => self.remove(),
            2 => {
                self.routes[at].timeout = self.rng.random_range(500..5_000);
                self.routes[at].stretch = self.stretch();
                self.routes[at].prefix.clone()
            }
            _ => {
                let route = &mut self.routes[at];
                let is_other = route.service == OTHER_SERVICE;
                route.service = if is_other { system::SERVICE } else { OTHER_SERVICE };
                route.prefix.clone()
            }
        }
    }

    fn add(&mut self) -> String {
        self.next += 1;
        let services = [system::SERVICE, OTHER_SERVICE];
        let service = services[self.rng.random_range(0..services.len())];
        let (prefix, timeout) = (format!("/q{}/", self.next), self.rng.random_range(500..5_000));
        let stretch = self.stretch();
        self.routes.push(Route { prefix: prefix.clone(), service, timeout, stretch });
        prefix
    }

    fn remove(&mut self) -> String {
        let at = self.rng.random_range(0..self.routes.len());
        self.routes.swap_remove(at).prefix
    }

    fn stretch(&mut self) -> String {
        if !self.scope.long_numbers {
            return ["1", "1.5", "2.25"][self.rng.random_range(0..3)].to_owned();
        }
        match self.rng.random_range(0..4) {
            0 => "1.6500000000000001".to_owned(),
            1 => (1.1 * 1.5).to_string(),
            _ => self.rng.random_range(1.0..4.0_f64).to_string(),
        }
    }

    fn content(&self, version: u64) -> Content {
        let routes: Vec<_> = self.routes.iter().map(route_text).collect();
        let services: Vec<_> = [system::SERVICE, OTHER_SERVICE].map(service_text).to_vec();
        let text = format!(
            "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\
             \"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4096,\"HeaderTimeoutMs\":3000,\
             \"IdleTimeoutMs\":15000}}}}",
            routes.join(","),
            services.join(",")
        );
        let pairs = self.routes.iter().map(|route| (route.prefix.clone(), route.service));
        let routes = sync::Arc::new(pairs.collect());
        Content { version, text: text.into(), routes }
    }
}

fn route_text(route: &Route) -> String {
    format!(
        "{{\"Name\":\"r{}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{}\",\"Kind\":\"unsafe\",\
         \"TimeoutMs\":{},\"LatencyGoalMs\":60,\"Priority\":0,\"Service\":\"{}\",\
         \"MaxAttempts\":2,\"Stretch\":{}}}",
        route.prefix.trim_matches('/'),
        route.prefix,
        route.timeout,
        route.service,
        route.stretch
    )
}

fn service_text(name: &str) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConns\":64,\"Protocol\":\"h1\",\
         \"Tls\":false,\"EnforcesCapacity\":true,\"Standby\":false}}"
    )
}

/// Replacements that make a configuration invalid. Each names a text that occurs in every valid
/// configuration.
const REPLACEMENTS: &[(&str, &str)] = &[
    ("\"Service\":\"board\"", "\"Service\":\"none\""),
    ("\"Service\":\"board\"", "\"Service\":7"),
    ("\"Service\":\"board\",", ""),
    ("\"TimeoutMs\":", "\"TimeoutMs\":0,\"Was\":"),
    ("\"TimeoutMs\":", "\"Was\":"),
    ("\"TimeoutMs\":", "\"TimeoutMs\":-"),
    ("\"TimeoutMs\":", "\"TimeoutMs\":\"900\",\"Was\":"),
    ("\"TimeoutMs\":", "\"TimeoutMs\":0.5,\"Was\":"),
    ("\"TimeoutMs\":", "\"TimeoutMs\":900,\"TimeoutMs\":"),
    ("\"PathPrefix\":\"", "\"PathPrefix\":null,\"Was\":\""),
    ("\"Host\":\"shop.example\"", "\"Host\":5"),
    ("\"Priority\":0", "\"Priority\":\"first\""),
    ("\"MaxAttempts\":2", "\"MaxAttempts\":-2"),
    ("\"LatencyGoalMs\":60", "\"LatencyGoalMs\":true"),
    ("\"Stretch\":", "\"Stretch\":[],\"Was\":"),
    ("\"Version\":", "\"Number\":"),
    ("\"Version\":", "\"Version\":\"9\",\"Was\":"),
    ("\"Version\":", "\"Version\":-"),
    ("\"Version\":", "\"Version\":1,\"Version\":"),
    ("\"Routes\":[", "\"Routes\":{},\"Was\":["),
    ("\"Routes\":[", "\"Routes\":[[],"),
    ("\"Routes\":[", "\"Routes\":[null,"),
    ("\"Services\":[", "\"Services\":null,\"Was\":["),
    ("\"Services\":[", "\"Services\":[\"board\","),
    ("\"Limits\":{", "\"Limits\":[],\"Was\":{"),
    ("\"MaxBodyBytes\":4096", "\"MaxBodyBytes\":\"4096\""),
];

/// As [`REPLACEMENTS`], in fields that this product does not use.
const UNUSED_REPLACEMENTS: &[(&str, &str)] = &[
    ("\"MaxConns\":64", "\"MaxConns\":\"64\""),
    ("\"MaxConns\":64", "\"MaxConns\":-1"),
    ("\"Kind\":\"unsafe\"", "\"Kind\":5"),
    ("\"Name\":\"r", "\"Name\":{},\"Was\":\"r"),
    ("\"HealthPath\":\"/health\"", "\"HealthPath\":[]"),
    ("\"Protocol\":\"h1\"", "\"Protocol\":1"),
    ("\"Tls\":false", "\"Tls\":\"no\""),
    ("\"EnforcesCapacity\":true", "\"EnforcesCapacity\":1"),
    ("\"Standby\":false", "\"Standby\":\"off\""),
    ("\"MaxHeaderBytes\":16384", "\"MaxHeaderBytes\":\"16384\""),
    ("\"HeaderTimeoutMs\":3000", "\"HeaderTimeoutMs\":{}"),
    ("\"IdleTimeoutMs\":15000", "\"IdleTimeoutMs\":-1"),
];

/// Returns an invalid text made from a valid one, and what is wrong with it.
pub fn invalid(rng: &mut SmallRng, scope: Scope, text: &str) -> (String, String) {
    let count =
        REPLACEMENTS.len() + if scope.unused_fields { UNUSED_REPLACEMENTS.len() } else { 0 };
    let (cut, choice) = (rng.random_range(0..text.len()), rng.random_range(0..count + 8));
    if let Some((from, to)) = REPLACEMENTS.iter().chain(UNUSED_REPLACEMENTS).take(count).nth(choice)
    {
        return (text.replacen(from, to, 1), format!("{from} replaced by {to}"));
    }
    match choice - count {
        0 => (format!("{text}x"), "trailing text".to_owned()),
        1 => (format!("{text}{text}"), "sent twice in one body".to_owned()),
        2 => (format!("[{text}]"), "in a list".to_owned()),
        3 => (twin(text), "two routes share a host and a prefix".to_owned()),
        4 => (text[..text.len() - 1].to_owned(), "cut before the last byte".to_owned()),
        _ => (text[..cut].to_owned(), format!("cut after {cut} bytes")),
    }
}

/// Repeats the first route of a configuration.
fn twin(text: &str) -> String {
    let from = text.find("[{").unwrap() + 1;
    let to = from + text[from..].find('}').unwrap() + 1;
    format!("{}{},{}", &text[..from], &text[from..to], &text[from..])
}

/// Whether two texts are equal as JSON values, with all digits of their numbers.
pub fn is_equal(a: &str, b: &str) -> bool {
    a == b || matches!((Exact::parse(a), Exact::parse(b)), (Some(a), Some(b)) if a == b)
}

/// Describes the first difference between a text that was sent and one that was read.
pub fn difference(sent: &str, read: &str) -> String {
    match (Exact::parse(sent), Exact::parse(read)) {
        (Some(sent), Some(read)) => sent.differs(&read, "$").unwrap_or_default(),
        (sent, _) => {
            format!("the one that was {} is no JSON", if sent.is_none() { "sent" } else { "read" })
        }
    }
}

/// A JSON value with exact numbers.
#[derive(Debug, PartialEq, Eq)]
enum Exact {
    Object(collections::BTreeMap<String, Self>),
    List(Vec<Self>),
    /// Significant digits with the sign, and the power of ten.
    Number(String, i64),
    /// A string, a boolean or null, as its text.
    Other(String),
}

impl Exact {
    fn parse(text: &str) -> Option<Self> {
        use serde_json::value::RawValue;
        let text = text.trim();
        Some(match text.as_bytes().first()? {
            b'{' => {
                let map: collections::BTreeMap<String, Box<RawValue>> =
                    serde_json::from_str(text).ok()?;
                let pairs =
                    map.into_iter().map(|(key, value)| Some((key, Self::parse(value.get())?)));
                Self::Object(pairs.collect::<Option<_>>()?)
            }
            b'[' => {
                let list: Vec<Box<RawValue>> = serde_json::from_str(text).ok()?;
                Self::List(
                    list.iter().map(|value| Self::parse(value.get())).collect::<Option<_>>()?,
                )
            }
            b'-' | b'0'..=b'9' => Self::number(text)?,
            _ => Self::Other(serde_json::from_str::<serde_json::Value>(text).ok()?.to_string()),
        })
    }

    fn differs(&self, read: &Self, path: &str) -> Option<String> {
        match (self, read) {
            (Self::Object(a), Self::Object(b)) if a.keys().eq(b.keys()) => {
                a.iter().find_map(|(key, value)| value.differs(&b[key], &format!("{path}.{key}")))
            }
            (Self::List(a), Self::List(b)) if a.len() == b.len() => {
                let mut pairs = a.iter().zip(b).enumerate();
                pairs.find_map(|(at, (a, b))| a.differs(b, &format!("{path}[{at}]")))
            }
            _ => (self != read).then(|| format!("{path} was {self:?} and is {read:?}")),
        }
    }

    fn number(text: &str) -> Option<Self> {
        let (mantissa, exponent) = text.split_once(['e', 'E']).unwrap_or((text, "0"));
        let (whole, fraction) = mantissa.split_once('.').unwrap_or((mantissa, ""));
        let digits = format!("{}{fraction}", whole.trim_start_matches('-'));
        let kept = digits.trim_end_matches('0');
        let power = exponent.parse::<i64>().ok()? - fraction.len() as i64
            + (digits.len() - kept.len()) as i64;
        let kept = kept.trim_start_matches('0');
        if kept.is_empty() {
            return Some(Self::Number(String::new(), 0));
        }
        let sign = if whole.starts_with('-') { "-" } else { "" };
        Some(Self::Number(format!("{sign}{kept}"), power))
    }
}
