#pragma once

namespace poplarstile::batch
{

/// What is known of a run that was, or may have been, on a worker that crashed.
struct crash_evidence {
    /// Nothing but runs of its own job was on the worker.
    bool alone = false;
    /// The run had only just been started.
    bool at_start = false;
};

} // namespace poplarstile::batch
