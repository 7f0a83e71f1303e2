//! Loads the configuration file of a node and validates its addresses and its seed.

use std::io;
use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::net::discovery::parser::EndpointList;
use crate::protocol::settings::SettingsDocument;

/// The number of bytes of a megabyte in the configuration file.
const BYTES_PER_MEGABYTE: f64 = 1e6;
/// The environment variable that names the configuration file.
const PATH_VARIABLE: &str = "PROXY_CONFIG";

/// Why the configuration can't be loaded.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment variable with the path of the configuration file is not set, or is not valid UTF-8.
    #[error("{PATH_VARIABLE} names no configuration")]
    NoPath,
    /// The configuration file can't be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is not valid JSON, or a required field is missing or has the wrong type.
    #[error("the configuration is malformed: {0}")]
    Malformed(#[source] serde_json::Error),
    /// A setting that holds an address is not an IP address with a port.
    #[error("{setting}: {text:?} is no address")]
    Address {
        /// Name of the setting in the configuration file.
        setting: &'static str,
        /// Value of the setting.
        text: String,
    },
    /// The limit on memory is not a positive number. Holds the value that the file gives, in megabytes.
    #[error("limits.memory_mb: {0} is no positive number")]
    MemoryLimit(f64),
    /// The seed is not a hexadecimal number of at most 64 bits. Holds the text that the file gives.
    #[error("seed: {0:?} is no hexadecimal number of 64 bits")]
    Seed(String),
}

/// The configuration that a node starts with.
pub struct Config {
    /// Address on which the node accepts connections of clients.
    pub listen_address: SocketAddr,
    /// Addresses of discovery and the counter service.
    pub services: ServiceAddresses,
    /// Seed of the node's random numbers.
    pub seed: u64,
    /// Maximum number of file descriptors that the process may use; 1024 if the file names none.
    pub max_descriptors: usize,
    /// Maximum memory of the process, in bytes; 192 MB if the file names none.
    pub max_memory_bytes: usize,
    /// The endpoint list that the node knew before this start; it may be out of date. Empty if the file holds
    /// none.
    pub known_endpoints: EndpointList,
    /// The settings of the decisions, of the validation of requests and of connections.
    pub settings: SettingsDocument,
}

/// The addresses of the services that a node calls. This is the only part of the configuration that may
/// change while the node runs.
pub struct ServiceAddresses {
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of the counter service; `None` if the node runs without a counter service.
    pub counter: Option<SocketAddr>,
}

/// The serialized form of the configuration file. Error messages of the JSON parser contain the names of
/// these types.
mod file {
    use serde::Deserialize;

    use crate::net::discovery::parser::EndpointList;
    use crate::protocol::settings::SettingsDocument;

    /// Maximum number of file descriptors if the file names none.
    const DEFAULT_MAX_DESCRIPTORS: usize = 1024;
    /// Maximum memory if the file names none, in megabytes.
    const DEFAULT_MAX_MEMORY_MB: f64 = 192.0;

    #[derive(Deserialize)]
    pub struct Config {
        pub listen: String,
        pub discovery: String,
        #[serde(default)]
        pub counter: Option<String>,
        pub seed: String,
        #[serde(default)]
        pub limits: ResourceLimits,
        #[serde(default)]
        pub known: EndpointList,
        pub settings: SettingsDocument,
    }

    /// The part of the file that is read on a reload. On a reload, the rest of the file may be invalid.
    #[derive(Deserialize)]
    pub struct Peers {
        pub discovery: String,
        #[serde(default)]
        pub counter: Option<String>,
    }

    /// Limits of the resources that the process may use. Error messages call this type `Limits`.
    #[derive(Deserialize)]
    #[serde(default, expecting = "struct Limits")]
    pub struct ResourceLimits {
        /// Maximum number of file descriptors.
        pub sockets: usize,
        /// Maximum memory of the process, in megabytes.
        pub memory_mb: f64,
    }

    impl Default for ResourceLimits {
        fn default() -> Self {
            ResourceLimits { sockets: DEFAULT_MAX_DESCRIPTORS, memory_mb: DEFAULT_MAX_MEMORY_MB }
        }
    }
}

/// Returns the path of the configuration file, which the environment variable `PROXY_CONFIG` holds.
///
/// # Errors
/// If the variable is not set or is not valid UTF-8.
pub fn path_from_environment() -> Result<String, ConfigError> {
    std::env::var(PATH_VARIABLE).map_err(|_| ConfigError::NoPath)
}

impl Config {
    /// Reads the configuration file at `path`.
    ///
    /// # Errors
    /// If the file can't be read, or if it is not a valid configuration.
    pub fn load(path: &str) -> Result<Self, ConfigError> {
        let file: file::Config = read_json(path)?;
        Ok(Config {
            listen_address: parse_address("listen", &file.listen)?,
            services: ServiceAddresses::parse(&file.discovery, file.counter.as_deref())?,
            seed: parse_seed(&file.seed)?,
            max_descriptors: file.limits.sockets,
            max_memory_bytes: memory_bytes(file.limits.memory_mb)?,
            known_endpoints: file.known,
            settings: file.settings,
        })
    }
}

impl ServiceAddresses {
    /// Reads only the addresses of the services from the configuration file at `path`.
    ///
    /// # Errors
    /// If the file can't be read or is not valid JSON, or if an address in it is missing or invalid. The
    /// address of the counter service may be missing.
    pub fn load(path: &str) -> Result<Self, ConfigError> {
        let file: file::Peers = read_json(path)?;
        ServiceAddresses::parse(&file.discovery, file.counter.as_deref())
    }

    fn parse(discovery: &str, counter: Option<&str>) -> Result<Self, ConfigError> {
        Ok(ServiceAddresses {
            discovery: parse_address("discovery", discovery)?,
            counter: counter.map(|text| parse_address("counter", text)).transpose()?,
        })
    }
}

fn read_json<T: DeserializeOwned>(path: &str) -> Result<T, ConfigError> {
    let text =
        std::fs::read(path).map_err(|source| ConfigError::Unreadable { path: path.to_owned(), source })?;
    serde_json::from_slice(&text).map_err(ConfigError::Malformed)
}

fn parse_address(setting: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Address { setting, text: text.to_owned() })
}

/// Returns the number of bytes of a limit on memory, which must be positive.
fn memory_bytes(megabytes: f64) -> Result<usize, ConfigError> {
    if megabytes > 0.0 {
        Ok((megabytes * BYTES_PER_MEGABYTE) as usize)
    } else {
        Err(ConfigError::MemoryLimit(megabytes))
    }
}

fn parse_seed(text: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(text, 16).map_err(|_| ConfigError::Seed(text.to_owned()))
}
