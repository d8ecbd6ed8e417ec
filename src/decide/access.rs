//! Whose key a caller shows, and until when an entry may honour it.
//!
//! The load that this answers: operators take keys away from callers that go on sending, and entries may be
//! cut off, frozen, turned away by the log or just restarted. An entry that went by the newest configuration
//! that it happens to have read would serve a revoked key for as long as its way to the log is gone.
//!
//! So a key counts only while a reading that began a short time ago has come to the end of what operators
//! wrote. The time runs from the start of the reading: what was acknowledged after that may be missing in
//! it, however late its answer arrives. A caller that sends its request later than the bound after the
//! revocation was acknowledged therefore meets either a reading that has the revocation, or one that is too
//! old to honour any key. No message between entries and no clock but the entry's own steady one is needed.
//!
//! Keys are kept as digests: what is logged, handed to other entries or dumped tells none.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::jobs::model::ResourceVector;

/// Part of the bound up to which a reading counts, in percent: steady clocks may run apart by a few.
const HONOUR_PERCENT: u64 = 95;

/// A key as it is kept: its SHA-256 digest.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digest of a key.
    pub fn of(key: &str) -> KeyDigest {
        KeyDigest(Sha256::digest(key.as_bytes()).into())
    }
}

/// Tells nothing: digests of guessable keys would give them away.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// What a request shows of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PresentedKey {
    /// Nothing.
    Missing,
    /// Something that is no single key.
    Malformed,
    /// A key.
    Given(KeyDigest),
}

/// One organisation, as operators configure it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrganisationSpec {
    /// Its name.
    pub name: Arc<str>,
    /// Its keys.
    pub keys: Vec<KeyDigest>,
    /// Its share when all is full, in jobs a second.
    pub weight: f64,
    /// Most that it may have running over all workers; 0 of a resource for no limit.
    pub cap: ResourceVector,
}

/// The organisations of a configuration, by key.
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
    /// Whose key this is.
    pub fn owner(&self, key: &KeyDigest) -> Option<&OrganisationSpec> {
        self.organisations.get(*self.by_key.get(key)?)
    }

    /// Every organisation.
    pub fn iter(&self) -> impl Iterator<Item = &OrganisationSpec> {
        self.organisations.iter()
    }
}

/// How soon a revoked key must be refused everywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RevocationRule {
    /// Whether that holds for entries that can't reach the log, too.
    pub is_strict: bool,
    /// Time after the acknowledgement of the revocation, in milliseconds.
    pub bound_ms: u64,
}

impl RevocationRule {
    /// Whether keys may be honoured by a configuration that was the newest when a reading began at
    /// `confirmed_ms`; nothing for one that no reading has shown to be.
    pub fn may_honour(&self, confirmed_ms: Option<u64>, now: u64) -> bool {
        if !self.is_strict {
            return true;
        }
        confirmed_ms.is_some_and(|confirmed| now < confirmed + self.bound_ms * HONOUR_PERCENT / 100)
    }
}

/// Why a caller is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessRefusal {
    /// It shows no key that can be read.
    NoKey,
    /// No organisation has its key.
    UnknownKey,
    /// Whether its key still counts can't be told now.
    Unconfirmed,
}

/// Who calls, as far as it matters for what it may see and use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerAccess {
    /// Its organisation; none on a queue that is open to all.
    pub organisation: Option<Arc<str>>,
}

impl CallerAccess {
    /// Whether it may see and cancel a job of this organisation. Others are told that there is no such job.
    pub fn may_see(&self, organisation: Option<&Arc<str>>) -> bool {
        organisation.is_none_or(|owner| self.organisation.as_ref() == Some(owner))
    }
}

/// Names a caller's organisation in a key of the log: the start of the SHA-256 digest of its name, or 0 for none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrganisationDigest(u64);

impl OrganisationDigest {
    /// The lowest.
    pub const FIRST: OrganisationDigest = OrganisationDigest(u64::MIN);
    /// The highest.
    pub const LAST: OrganisationDigest = OrganisationDigest(u64::MAX);

    /// Mark of an organisation, or of callers without one.
    pub fn of(organisation: Option<&Arc<str>>) -> OrganisationDigest {
        let digest = organisation.map(|name| Sha256::digest(name.as_bytes()));
        let start = digest.and_then(|digest| digest.first_chunk().copied());
        OrganisationDigest(start.map_or(0, u64::from_be_bytes))
    }

    /// Reads 16 hexadecimal digits.
    pub fn parse(text: &str) -> Option<OrganisationDigest> {
        let digest = u64::from_str_radix(text, 16).ok().map(OrganisationDigest)?;
        (digest.to_string() == text).then_some(digest)
    }

    /// Whether such a caller may see and cancel a job of this organisation, as [`CallerAccess::may_see`] says.
    pub fn may_see(self, organisation: Option<&Arc<str>>) -> bool {
        organisation.is_none() || self == OrganisationDigest::of(organisation)
    }
}

impl fmt::Display for OrganisationDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Lets a caller in, or says why not; `table` is nothing before a reading shows a configuration whose keys may
/// be honoured.
///
/// # Errors
/// As [`AccessRefusal`] says. A key that is unknown to a configuration that may be out of date is not called
/// unknown: it may have been given out since.
pub fn admit(
    table: Option<&AccessTable>,
    key: PresentedKey,
) -> Result<CallerAccess, AccessRefusal> {
    let PresentedKey::Given(key) = key else { return Err(AccessRefusal::NoKey) };
    let table = table.ok_or(AccessRefusal::Unconfirmed)?;
    let owner = table.owner(&key).ok_or(AccessRefusal::UnknownKey)?;
    Ok(CallerAccess { organisation: Some(owner.name.clone()) })
}
