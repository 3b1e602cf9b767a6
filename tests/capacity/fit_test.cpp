#include "bench/capacity/fit.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <vector>

namespace poplarstile::bench::capacity
{
namespace
{

std::vector<plots::point> points_of(const std::function<double(double)>& cost)
{
    std::vector<plots::point> points;
    for (const double x : {100.0, 200.0, 400.0, 800.0, 1600.0}) {
        points.push_back({x, cost(x)});
    }
    return points;
}

TEST(fit, finds_the_line_that_the_points_lie_on)
{
    const auto found = fit_line(points_of([](double x) { return 40 + 3 * x; }));

    EXPECT_NEAR(found.slope, 3, 1e-9);
    EXPECT_NEAR(found.intercept, 40, 1e-6);
    EXPECT_NEAR(found.r_squared, 1, 1e-9);
    EXPECT_NEAR(found.slope_error, 0, 1e-6);
    EXPECT_EQ(found.kind, growth::linear);
}

TEST(fit, tells_growth_apart)
{
    EXPECT_EQ(fit_line(points_of([](double) { return 5; })).kind, growth::constant);
    EXPECT_EQ(fit_line(points_of([](double x) { return x * x; })).kind, growth::superlinear);
    EXPECT_EQ(fit_line(points_of([](double x) { return x * std::log2(x); })).kind, growth::linear)
        << "a logarithm can't be told from a line over this range";
    EXPECT_EQ(fit_line(points_of([](double x) { return std::sqrt(x); })).kind, growth::sublinear);
}

TEST(fit, takes_a_few_percent_of_noise_for_linear)
{
    double sign = 1;
    const auto found = fit_line(points_of([&sign](double x) {
        sign = -sign;
        return 2 * x * (1 + 0.05 * sign);
    }));

    EXPECT_EQ(found.kind, growth::linear);
    EXPECT_NEAR(found.slope, 2, 0.2);
    EXPECT_GT(found.slope_error, 0);
}

TEST(fit, says_nothing_about_two_points)
{
    const std::vector<plots::point> two{{1, 1}, {2, 2}};

    EXPECT_EQ(fit_line(two).kind, growth::unclear);
}

} // namespace
} // namespace poplarstile::bench::capacity
