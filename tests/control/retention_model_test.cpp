#include "control/retention_model.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <ostream>

/// Random orders of submissions, cancels, faults and time: an accepted job is known until its time
/// is over, runs once, keeps its end, and leaves no rows behind.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using fate = fake_store::fate;

enum class action : std::uint8_t {
    submit,
    submit_again,
    store_twice,
    cancel,
    kill_leader,
    kill_vm,
    lose_part,
    fail_writes,
    fail_leader_writes,
    refuse_reads,
    refuse_leader_reads,
    cut_off_leader,
    forget_history,
    wait,
};

constexpr std::array<std::string_view, 14> action_names{"submit",
                                                        "submit_again",
                                                        "store_twice",
                                                        "cancel",
                                                        "kill_leader",
                                                        "kill_vm",
                                                        "lose_part",
                                                        "fail_writes",
                                                        "fail_leader_writes",
                                                        "refuse_reads",
                                                        "refuse_leader_reads",
                                                        "cut_off_leader",
                                                        "forget_history",
                                                        "wait"};

struct step {
    action what = action::wait;
    /// Which VM, and which job or part.
    std::size_t vm = 0;
    std::size_t choice = 0;
    fate writes = fate::refuse;
    /// How long a fault lasts.
    milliseconds lasts{0};
    /// Time until the next step.
    milliseconds then{0};
};

std::ostream& operator<<(std::ostream& stream, const step& shown)
{
    return stream << action_names.at(static_cast<std::size_t>(shown.what)) << " vm=" << shown.vm
                  << " choice=" << shown.choice << " fate=" << static_cast<int>(shown.writes)
                  << " lasts=" << shown.lasts.count() << " then=" << shown.then.count() << '\n';
}

rc::Gen<milliseconds> any_span()
{
    const auto milliseconds_below = [](int least, int most) {
        return rc::gen::map(rc::gen::inRange(least, most),
                            [](int count) { return milliseconds{count}; });
    };
    return rc::gen::weightedOneOf<milliseconds>({{4, milliseconds_below(0, 60)},
                                                 {5, milliseconds_below(60, 1'500)},
                                                 {2, milliseconds_below(1'500, 8'000)},
                                                 {1, milliseconds_below(8'000, 25'000)}});
}

rc::Gen<std::vector<step>> any_steps()
{
    constexpr double longest_sequence = 0.3;
    const auto any_action = rc::gen::weightedElement<action>({{5, action::submit},
                                                              {2, action::submit_again},
                                                              {3, action::store_twice},
                                                              {1, action::cancel},
                                                              {3, action::kill_leader},
                                                              {1, action::kill_vm},
                                                              {2, action::lose_part},
                                                              {1, action::fail_writes},
                                                              {2, action::fail_leader_writes},
                                                              {1, action::refuse_reads},
                                                              {2, action::refuse_leader_reads},
                                                              {1, action::cut_off_leader},
                                                              {1, action::forget_history},
                                                              {2, action::wait}});
    const auto any_step = rc::gen::build<step>(
        rc::gen::set(&step::what, any_action),
        rc::gen::set(&step::vm, rc::gen::inRange<std::size_t>(0, retention_model::vm_count)),
        rc::gen::set(&step::choice, rc::gen::inRange<std::size_t>(0, 12)),
        rc::gen::set(&step::writes,
                     rc::gen::element(fate::refuse, fate::swallow, fate::lose_answer, fate::late)),
        rc::gen::set(&step::lasts, any_span()), rc::gen::set(&step::then, any_span()));
    return rc::gen::scale(longest_sequence,
                          rc::gen::container<std::vector<step>>(rc::gen::resize(100, any_step)));
}

void play(retention_model& model, const step& next)
{
    switch (next.what) {
    case action::submit:
        model.submit(next.vm);
        return;
    case action::submit_again:
        model.submit_again(next.vm, next.choice);
        return;
    case action::store_twice:
        model.store_twice(next.choice, next.vm + next.choice);
        return;
    case action::cancel:
        model.cancel(next.vm, next.choice);
        return;
    case action::kill_leader:
        model.kill_leader(next.lasts);
        return;
    case action::kill_vm:
        model.kill_vm(next.vm, next.lasts);
        return;
    case action::lose_part:
        model.lose_part(next.choice, next.lasts);
        return;
    case action::fail_writes:
        model.fail_calls(next.choice % 2 == 0 ? std::optional{next.vm} : std::nullopt, true,
                         next.writes, next.lasts);
        return;
    case action::fail_leader_writes:
        model.fail_calls_of_leader(true, next.writes, next.lasts);
        return;
    case action::refuse_reads:
        model.fail_calls(next.choice % 2 == 0 ? std::optional{next.vm} : std::nullopt, false,
                         fate::refuse, next.lasts);
        return;
    case action::refuse_leader_reads:
        model.fail_calls_of_leader(false, fate::refuse, next.lasts);
        return;
    case action::cut_off_leader:
        model.cut_off_leader(next.lasts);
        return;
    case action::forget_history:
        model.forget_history();
        return;
    case action::wait:
        return;
    }
}

void judge_any_sequence(retention_model::judged_promises promises)
{
    const auto steps = *any_steps();
    retention_model model{promises};
    for (const auto& next : steps) {
        play(model, next);
        model.wait(next.then);
        if (model.is_broken()) {
            RC_FAIL(model.story());
        }
    }
    model.finish();
    if (model.is_broken()) {
        RC_FAIL(model.story());
    }
}

RC_GTEST_PROP(retention_model, AnAcceptedJobIsKnownForItsTimeAndRunsOnce, ())
{
    judge_any_sequence({});
}

RC_GTEST_PROP(retention_model, NoRowOfACancelStays, ())
{
    retention_model::judged_promises promises;
    promises.cancel_rows = true;
    judge_any_sequence(promises);
}

RC_GTEST_PROP(retention_model, AJobWithTwoRowsRunsOnceAfterATakeover, ())
{
    retention_model::judged_promises promises;
    promises.two_rows_at_takeover = true;
    judge_any_sequence(promises);
}

RC_GTEST_PROP(retention_model, AnEndThatWasShownStays, ())
{
    retention_model::judged_promises promises;
    promises.same_end_on_all_vms = true;
    judge_any_sequence(promises);
}

} // namespace
} // namespace poplarstile::tests
