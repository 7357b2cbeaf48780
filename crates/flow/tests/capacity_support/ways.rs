//! Ways to place an opening that are compared with the balancer's own. Each is written from its published
//! description. Those that need news from the targets get them here, although real targets send none: "hot and cold"
//! the requests at 16 targets at the moment, and "cubic" those at a target when it answers.

use super::{FAILURE_SECONDS, Way};
use rand::RngExt;
use rand::rngs::StdRng;

/// What an entry that places by itself knows of a target.
#[derive(Clone, Debug)]
pub struct Known {
    /// Requests in flight through this entry.
    pub own: f64,
    /// Mean requests in flight through other entries in the last exchanged interval.
    pub others: f64,
    /// Decayed answers and the sum of their times, in seconds.
    pub answers: f64,
    pub seconds: f64,
    /// Lasting mean answer time and limit of the gradient.
    pub long_seconds: f64,
    /// Requests at the target when it answered last, and the answer time, by this entry's own requests.
    pub queue: f64,
    pub own_seconds: f64,
    pub limit: f64,
}

impl Known {
    pub fn new(slots: u32) -> Self {
        let limit = f64::from(slots);
        let (own, others, answers, seconds, long_seconds) = (0.0, 0.0, 0.0, 0.0, 0.0);
        let (queue, own_seconds) = (0.0, 0.0);
        Self { own, others, answers, seconds, long_seconds, queue, own_seconds, limit }
    }

    /// Records an own answer, with the requests that the target reports with it.
    pub fn record_own(&mut self, seconds: f64, queue: f64) {
        self.record(1.0, seconds);
        let weight = if self.own_seconds == 0.0 { 1.0 } else { 0.5 };
        self.own_seconds += (seconds - self.own_seconds) * weight;
        self.queue += (queue - self.queue) * 0.5;
    }

    pub fn record(&mut self, answers: f64, seconds: f64) {
        self.answers += answers;
        self.seconds += seconds;
    }

    /// Half-life of 1 s at an interval of 250 ms, and one step of the gradient: the limit follows the ratio of the
    /// lasting to the present answer time, with room for a queue of the root of the limit.
    pub fn step(&mut self) {
        if self.answers >= 1.0 {
            let short = self.seconds / self.answers;
            if self.long_seconds == 0.0 {
                self.long_seconds = short;
            }
            self.long_seconds += (short - self.long_seconds) * 0.01;
            let gradient = (1.5 * self.long_seconds / short).clamp(0.5, 1.0);
            let new = self.limit * gradient + self.limit.sqrt();
            self.limit = (self.limit * 0.8 + new * 0.2).clamp(0.25, 64.0);
        }
        self.answers *= 0.84;
        self.seconds *= 0.84;
    }

    fn mean(&self) -> Option<f64> {
        (self.answers >= 0.5).then(|| self.seconds / self.answers)
    }
}

/// Places an opening.
pub fn choose(way: Way, known: &[Known], loads: &[f64], entries: usize, rng: &mut StdRng) -> usize {
    let mut means: Vec<f64> = known.iter().filter_map(Known::mean).collect();
    means.sort_by(f64::total_cmp);
    let usual = means.get(means.len() / 2).copied().unwrap_or(FAILURE_SECONDS);
    let mean = |k: &Known| k.mean().unwrap_or(usual);
    match way {
        Way::MeanTime => {
            let weights: Vec<f64> = known.iter().map(|k| 1.0 / mean(k)).collect();
            let mut left = rng.random::<f64>() * weights.iter().sum::<f64>();
            let chosen = weights.iter().position(|weight| {
                left -= weight;
                left <= 0.0
            });
            chosen.unwrap_or(0)
        }
        Way::Gradient => lowest(known, rng, |k| {
            let load = k.own + k.others;
            if load < k.limit { k.own - 1_000.0 } else { load / k.limit }
        }),
        Way::HotCold => {
            // A pool of 16, of which those above the quantile 0.84 of requests in flight are hot.
            let pool: Vec<usize> = (0..16).map(|_| rng.random_range(0..known.len())).collect();
            let mut in_pool: Vec<f64> = pool.iter().map(|t| loads[*t]).collect();
            in_pool.sort_by(f64::total_cmp);
            let hot = in_pool[13];
            let cold: Vec<usize> = pool.iter().copied().filter(|t| loads[*t] < hot).collect();
            let by_time = |a: &usize, b: &usize| mean(&known[*a]).total_cmp(&mean(&known[*b]));
            let by_load = |a: &usize, b: &usize| loads[*a].total_cmp(&loads[*b]);
            let idlest = || pool.iter().copied().min_by(by_load).unwrap_or(0);
            cold.iter().copied().min_by(by_time).unwrap_or_else(idlest)
        }
        Way::Cubic => lowest(known, rng, |k| {
            // Each own request stands for one of each entry.
            let queue = 1.0 + k.own * entries as f64 + k.queue;
            let seconds = if k.own_seconds > 0.0 { k.own_seconds } else { usual };
            queue.powi(3) * seconds
        }),
        Way::Announced | Way::Learned => unreachable!("the balancer places these"),
    }
}

/// Target with the lowest score; ties are broken at random.
fn lowest(known: &[Known], rng: &mut StdRng, score: impl Fn(&Known) -> f64) -> usize {
    let scores: Vec<f64> = known.iter().map(score).collect();
    let least = scores.iter().copied().fold(f64::INFINITY, f64::min);
    let best: Vec<usize> = (0..scores.len()).filter(|t| scores[*t] <= least).collect();
    best[rng.random_range(0..best.len())]
}
