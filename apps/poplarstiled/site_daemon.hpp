#pragma once

#include "base/result.hpp"
#include "settings/site_settings.hpp"

#include <memory>
#include <string>

namespace poplarstile::daemon
{

/// An entry VM on a platform with a row store: one reactor thread that carries callers, peers, the
/// store and workers.
class site_daemon
{
public:
    /// Error: `listen_failed`. `settings_path` is read again when the file changes.
    [[nodiscard]] static base::result<std::unique_ptr<site_daemon>>
    start(settings::site_settings settings, std::string settings_path);

    ~site_daemon();
    site_daemon(const site_daemon&) = delete;
    site_daemon& operator=(const site_daemon&) = delete;

    /// Serves until a signal has led the VM out.
    void run();

private:
    struct parts;
    explicit site_daemon(std::unique_ptr<parts> made);
    std::unique_ptr<parts> parts_;
};

} // namespace poplarstile::daemon
