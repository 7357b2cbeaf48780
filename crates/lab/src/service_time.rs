//! Probability distributions of the time that a target takes for a request.

use anyhow::{Context as _, bail};
use rand::Rng;
use rand_distr::{Distribution as _, Exp, LogNormal};
use serde::{Deserialize, Serialize};
use std::str::FromStr;
use std::time::Duration;

/// Longest service time that is sampled; larger samples are reduced to it.
const MAX_SERVICE_TIME: Duration = Duration::from_secs(60);

/// Distribution of the service time. Its text form, which [`FromStr`] parses, is `constant:MS`,
/// `exponential:MEAN_MS` or `lognormal:MEDIAN_MS:SIGMA`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceTime {
    /// The same time for each request, in milliseconds.
    Constant(f64),
    /// Exponential distribution with this mean, in milliseconds.
    Exponential(f64),
    /// Log-normal distribution with this median, in milliseconds, and the standard deviation of the logarithm.
    LogNormal(f64, f64),
}

impl ServiceTime {
    /// Draws one service time, limited to one minute.
    pub fn sample(&self, rng: &mut impl Rng) -> Duration {
        let ms = match *self {
            Self::Constant(ms) => ms,
            Self::Exponential(mean) => Exp::new(1.0 / mean).map_or(mean, |d| d.sample(rng)),
            Self::LogNormal(median, sigma) => {
                LogNormal::new(median.ln(), sigma).map_or(median, |d| d.sample(rng))
            }
        };
        Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or_default().min(MAX_SERVICE_TIME)
    }
}

impl FromStr for ServiceTime {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        let mut parts = text.split(':');
        let name = parts.next().unwrap_or_default();
        let parameters = parts.map(parse_positive).collect::<anyhow::Result<Vec<_>>>()?;
        match (name, parameters.as_slice()) {
            ("constant", [ms]) => Ok(Self::Constant(*ms)),
            ("exponential", [mean]) => Ok(Self::Exponential(*mean)),
            ("lognormal", [median, sigma]) => Ok(Self::LogNormal(*median, *sigma)),
            _ => bail!(
                "invalid service time {text:?}: expected constant:MS, exponential:MEAN_MS or \
                 lognormal:MEDIAN_MS:SIGMA"
            ),
        }
    }
}

fn parse_positive(text: &str) -> anyhow::Result<f64> {
    let number: f64 = text.parse().with_context(|| format!("{text:?} is not a number"))?;
    if !number.is_finite() || number <= 0.0 {
        bail!("{text:?} is not a positive number");
    }
    Ok(number)
}
