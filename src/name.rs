//! Names of things in the document, each its own type so that a pool can't pass for a VM.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Longest name that a document may hold, in bytes (as a DNS label).
pub const NAME_BYTES_MAX: usize = 63;

/// Whether a name can stand in a path, a header and a metric label without escapes.
pub fn is_well_formed(name: &str) -> bool {
    let allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-.".contains(&byte);
    !name.is_empty() && name.len() <= NAME_BYTES_MAX && name.bytes().all(allowed)
}

macro_rules! name_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                $name(Arc::from(name))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

name_types! {
    /// A VM of the inventory.
    VmName;
    /// A group of VMs that serve one product.
    PoolName;
    /// A product with a capacity and an availability budget.
    ProductName;
    /// A service, as callers name it.
    ServiceName;
    /// A team with a quota.
    TeamName;
    /// A data centre.
    CentreName;
    /// A rack: a failure domain inside a data centre.
    RackName;
    /// A maintenance wave.
    WaveName;
    /// One run of an entry process: its name and a number drawn at its start.
    EntryName;
}
