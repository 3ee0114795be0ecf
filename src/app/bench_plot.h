#ifndef PAPAYAGLADE_APP_BENCH_PLOT_H_
#define PAPAYAGLADE_APP_BENCH_PLOT_H_

#include <string>
#include <vector>

#include "app/bench_report.h"

namespace papayaglade {

/// One named curve of a plot.
struct plotted_curve {
  std::string name;
  std::vector<percentile_point> points;
};

/// Draws latency over percentile, both on log scales, as an SVG document.
std::string PlotCurves(const std::vector<plotted_curve>& curves);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_BENCH_PLOT_H_
