#ifndef PAPAYAGLADE_APP_BENCH_PLOT_H_
#define PAPAYAGLADE_APP_BENCH_PLOT_H_

#include <string>
#include <vector>

#include "app/bench_report.h"

namespace papayaglade {

/// A latency curve and its name in the legend.
struct plotted_curve {
  std::string name;
  std::vector<percentile_point> points;
};

/// Plots latency over percentile, both on logarithmic scales, and returns an
/// SVG document.
std::string PlotCurves(const std::vector<plotted_curve>& curves);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_BENCH_PLOT_H_
