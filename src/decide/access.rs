//! API keys: which organisation a key belongs to, and for how long an entry may honour it.
//!
//! Operators revoke keys of callers that go on sending, while entries may be partitioned, paused,
//! refused by the log or just restarted. An entry that trusted the newest configuration it has read
//! would accept a revoked key for as long as it can't reach the log.
//!
//! A key is therefore honoured only while a recently started read has reached the end of the
//! operators' records. Its age counts from the start of the read, because the answer may lack
//! anything acknowledged later than that, however late it arrives. A request that is sent later
//! than the bound after the acknowledgement of a revocation meets either a read that contains the
//! revocation or one that is too old to honour any key. This needs no messages between entries and
//! no clock but the entry's own steady one.
//!
//! Keys are stored as digests, so that neither logs nor messages between entries nor dumps reveal
//! them.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::jobs::model::ResourceVector;

/// Percentage of the bound for which a read counts; steady clocks may differ in speed by a few
/// percent.
const HONOUR_PERCENT: u64 = 95;

/// An API key as it is stored: its SHA-256 digest.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digest of a key in plain text.
    pub fn of(key: &str) -> KeyDigest {
        KeyDigest(Sha256::digest(key.as_bytes()).into())
    }
}

/// Prints no digest: one of a guessable key would reveal the key.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// The API key that a request carries, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PresentedKey {
    /// No key.
    Missing,
    /// Something that is not exactly one key.
    Malformed,
    /// Digest of the key.
    Given(KeyDigest),
}

/// One organisation, as operators configure it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrganisationSpec {
    /// Name that operators gave it.
    pub name: Arc<str>,
    /// Digests of its API keys.
    pub keys: Vec<KeyDigest>,
    /// Its share when the workers are full, in jobs per second.
    pub weight: f64,
    /// Resources that its running tasks may use over all workers; 0 means no limit for a resource.
    pub cap: ResourceVector,
}

/// The organisations of a configuration, indexed by API key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<OrganisationSpec>", into = "Vec<OrganisationSpec>")]
pub struct AccessTable {
    organisations: Vec<OrganisationSpec>,
    by_key: HashMap<KeyDigest, usize>,
}

impl From<Vec<OrganisationSpec>> for AccessTable {
    fn from(organisations: Vec<OrganisationSpec>) -> AccessTable {
        let mut by_key = HashMap::new();
        for (position, organisation) in organisations.iter().enumerate() {
            for key in &organisation.keys {
                by_key.entry(*key).or_insert(position);
            }
        }
        AccessTable { organisations, by_key }
    }
}

impl From<AccessTable> for Vec<OrganisationSpec> {
    fn from(table: AccessTable) -> Vec<OrganisationSpec> {
        table.organisations
    }
}

impl AccessTable {
    /// Organisation that a key belongs to.
    pub fn owner(&self, key: &KeyDigest) -> Option<&OrganisationSpec> {
        self.organisations.get(*self.by_key.get(key)?)
    }

    /// All organisations, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &OrganisationSpec> {
        self.organisations.iter()
    }
}

/// How soon a revoked key must be refused by all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RevocationRule {
    /// Whether the bound also holds for entries that can't reach the log.
    pub is_strict: bool,
    /// Time after the acknowledgement of the revocation, in milliseconds.
    pub bound_ms: u64,
}

impl RevocationRule {
    /// Whether keys may be honoured, given the start of the newest read that has confirmed the
    /// configuration as the newest one; `None` if no read has.
    pub fn may_honour(&self, confirmed_ms: Option<u64>, now: u64) -> bool {
        if !self.is_strict {
            return true;
        }
        confirmed_ms.is_some_and(|confirmed| now < confirmed + self.bound_ms * HONOUR_PERCENT / 100)
    }
}

/// Why a caller is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessRefusal {
    /// It presents no readable key.
    NoKey,
    /// No organisation has its key.
    UnknownKey,
    /// Whether its key is still valid can't be determined at the moment.
    Unconfirmed,
}

/// Identity of a caller, as far as it decides what the caller may see and use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerAccess {
    /// Its organisation; `None` for a queue that is open to everybody.
    pub organisation: Option<Arc<str>>,
}

impl CallerAccess {
    /// Whether it may see and cancel a job of this organisation. Others get the answer for an
    /// unknown job.
    pub fn may_see(&self, organisation: Option<&Arc<str>>) -> bool {
        organisation.is_none_or(|owner| self.organisation.as_ref() == Some(owner))
    }
}

/// Identifies a caller's organisation in keys of the log: the first 8 bytes of the SHA-256 digest
/// of its name, or 0 for none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrganisationDigest(u64);

impl OrganisationDigest {
    /// Smallest value, for ranges.
    pub const FIRST: OrganisationDigest = OrganisationDigest(u64::MIN);
    /// Largest value, for ranges.
    pub const LAST: OrganisationDigest = OrganisationDigest(u64::MAX);

    /// Digest for an organisation, or for callers without one.
    pub fn of(organisation: Option<&Arc<str>>) -> OrganisationDigest {
        let digest = organisation.map(|name| Sha256::digest(name.as_bytes()));
        let start = digest.and_then(|digest| digest.first_chunk().copied());
        OrganisationDigest(start.map_or(0, u64::from_be_bytes))
    }

    /// Parses 16 hexadecimal digits, as `Display` writes them.
    pub fn parse(text: &str) -> Option<OrganisationDigest> {
        let digest = u64::from_str_radix(text, 16).ok().map(OrganisationDigest)?;
        (digest.to_string() == text).then_some(digest)
    }

    /// Whether a caller of this organisation may see and cancel a job of `organisation`, by the
    /// rule of [`CallerAccess::may_see`].
    pub fn may_see(self, organisation: Option<&Arc<str>>) -> bool {
        organisation.is_none() || self == OrganisationDigest::of(organisation)
    }
}

impl fmt::Display for OrganisationDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Authenticates a caller. `table` is `None` until a read has confirmed a configuration whose keys
/// may be honoured.
///
/// # Errors
/// As listed in [`AccessRefusal`]. While the configuration may be out of date, a key missing from
/// it is not reported as unknown: it may have been issued since.
pub fn admit(
    table: Option<&AccessTable>,
    key: PresentedKey,
) -> Result<CallerAccess, AccessRefusal> {
    let PresentedKey::Given(key) = key else { return Err(AccessRefusal::NoKey) };
    let table = table.ok_or(AccessRefusal::Unconfirmed)?;
    let owner = table.owner(&key).ok_or(AccessRefusal::UnknownKey)?;
    Ok(CallerAccess { organisation: Some(owner.name.clone()) })
}
