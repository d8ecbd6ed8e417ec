//! Makes a test authority and an entry's keys; a real site brings its own.

use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair, KeyUsagePurpose};

use crate::error::{CodeResult, ResultCode, coded};
use crate::peer::{PEER_NAME, PeerKeys};

/// An authority that signs entries' certificates.
pub struct TestAuthority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl TestAuthority {
    /// A new authority.
    pub fn open() -> CodeResult<TestAuthority> {
        let key = KeyPair::generate().map_err(bad)?;
        let mut params = CertificateParams::new(Vec::new()).map_err(bad)?;
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        let issuer = CertifiedIssuer::self_signed(params, key).map_err(bad)?;
        Ok(TestAuthority { issuer })
    }

    /// Keys of a new entry.
    pub fn entry(&self) -> CodeResult<PeerKeys> {
        let key = KeyPair::generate().map_err(bad)?;
        let params = CertificateParams::new(vec![PEER_NAME.to_owned()]).map_err(bad)?;
        let cert = params.signed_by(&key, &self.issuer).map_err(bad)?;
        Ok(PeerKeys { ca: self.issuer.pem(), cert: cert.pem(), key: key.serialize_pem() })
    }
}

fn bad(error: rcgen::Error) -> error_stack::Report<ResultCode> {
    coded(ResultCode::BadKeys, error)
}
