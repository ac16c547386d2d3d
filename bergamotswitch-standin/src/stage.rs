//! Provides staged deployments: copies of a deployment's files, each with its
//! own loopback address, for tests and the demo.

use std::io;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU16, Ordering};

/// The address in the original files of a deployment.
const PUBLISHED_ADDRESS: &str = "127.0.0.1";

/// The number of stages that this process has created.
static STAGE_COUNT: AtomicU16 = AtomicU16::new(0);

/// A `StagedDeployment` is a copy of a deployment in a temporary directory; the
/// directory is removed on drop.
///
/// The processes of a deployment have to know each other's ports before they
/// start, so the ports are those of the original files, below the ephemeral range
/// from which port 0 draws. Each stage has its own loopback address instead,
/// derived from the process id and the number of the stage, so that parallel
/// tests do not conflict.
#[derive(Debug)]
pub struct StagedDeployment {
    directory: PathBuf,
    address: Ipv4Addr,
}

impl StagedDeployment {
    /// Try to copy the JSON files of `source` and of its `settings`.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read or written.
    pub fn try_new(source: &Path) -> io::Result<Self> {
        let stage = STAGE_COUNT.fetch_add(1, Ordering::Relaxed);
        let address = stage_address(std::process::id(), stage);
        let directory = std::env::temp_dir().join(format!("bergamotswitch-{address}"));
        let staged = StagedDeployment { directory, address };
        staged.copy(source, &staged.directory)?;
        staged.copy(&source.join("settings"), &staged.settings_directory())?;
        Ok(staged)
    }

    fn copy(&self, from: &Path, to: &Path) -> io::Result<()> {
        std::fs::create_dir_all(to)?;
        for entry in std::fs::read_dir(from)? {
            let path = entry?.path();
            if path.extension().is_none_or(|ending| ending != "json") {
                continue;
            }
            let text = std::fs::read_to_string(&path)?;
            let text = text.replace(PUBLISHED_ADDRESS, &self.address.to_string());
            let name = path.file_name().unwrap_or_default();
            std::fs::write(to.join(name), text)?;
        }
        Ok(())
    }

    /// Get the directory with the copies of the published values.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Get the directory with the copies of the hosts' settings.
    pub fn settings_directory(&self) -> PathBuf {
        self.directory.join("settings")
    }

    /// Get the loopback address that the copied files name.
    pub fn address(&self) -> Ipv4Addr {
        self.address
    }
}

impl Drop for StagedDeployment {
    fn drop(&mut self) {
        // A directory that cannot be removed is harmless, as its name is unique.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Get the loopback address of a stage. 127.64.0.0/10 has 2^22 addresses, enough
/// for process ids of up to 18 bits with 16 stages each.
fn stage_address(process: u32, stage: u16) -> Ipv4Addr {
    let number = (process & 0x3_ffff) << 4 | u32::from(stage & 0xf);
    Ipv4Addr::from(u32::from(Ipv4Addr::new(127, 64, 0, 0)) | number)
}
