#include "app/bench_plot.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace papayaglade {

namespace {

constexpr double kWidth = 640;
constexpr double kHeight = 400;
constexpr double kLeft = 70;
constexpr double kRight = 20;
constexpr double kTop = 20;
constexpr double kBottom = 50;
constexpr double kLineHeight = 18;
constexpr double kMicrosPerMilli = 1000;
// The percentile axis ends at 0.999; the maximum is drawn there as well.
constexpr double kMinTail = 0.001;
constexpr const char* kColours[] = {"#1f6f8b", "#d1495b", "#66a182", "#8d6a9f"};
constexpr std::size_t kColourCount = sizeof(kColours) / sizeof(kColours[0]);

struct value_range {
  double min_us = 1e12;
  double max_us = 1;
};

value_range RangeOf(const std::vector<plotted_curve>& curves) {
  value_range range;
  for (const plotted_curve& curve : curves) {
    for (const percentile_point& point : curve.points) {
      const auto us =
          std::max<double>(1.0, static_cast<double>(point.latency.count()));
      range.min_us = std::min(range.min_us, us);
      range.max_us = std::max(range.max_us, us);
    }
  }
  range.min_us = std::pow(10, std::floor(std::log10(range.min_us)));
  range.max_us = std::pow(10, std::ceil(std::log10(range.max_us)));
  if (range.max_us <= range.min_us) range.max_us = range.min_us * 10;
  return range;
}

double XOf(double percentile) {
  const double tail = std::clamp(1.0 - percentile, kMinTail, 1.0);
  const double share = std::log10(tail) / std::log10(kMinTail);
  return kLeft + share * (kWidth - kLeft - kRight);
}

double YOf(double us, const value_range& range) {
  const double share =
      std::log(us / range.min_us) / std::log(range.max_us / range.min_us);
  return kHeight - kBottom - share * (kHeight - kTop - kBottom);
}

std::string Escape(const std::string& text) {
  std::string escaped;
  for (const char each : text) {
    if (each == '&') {
      escaped += "&amp;";
    } else if (each == '<') {
      escaped += "&lt;";
    } else {
      escaped += each;
    }
  }
  return escaped;
}

void DrawText(std::ostream& out, double x, double y, const char* anchor,
              const std::string& text) {
  out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor
      << "\">" << Escape(text) << "</text>\n";
}

void DrawLine(std::ostream& out, double x1, double y1, double x2, double y2) {
  out << "<line x1=\"" << x1 << "\" y1=\"" << y1 << "\" x2=\"" << x2
      << "\" y2=\"" << y2 << "\" stroke=\"#ddd\"/>\n";
}

void DrawGrid(std::ostream& out, const value_range& range) {
  for (const double percentile : {0.0, 0.5, 0.9, 0.99, 0.999}) {
    const double x = XOf(percentile);
    std::ostringstream label;
    label << "p" << percentile * 100;
    DrawLine(out, x, kTop, x, kHeight - kBottom);
    DrawText(out, x, kHeight - kBottom + kLineHeight, "middle", label.str());
  }
  for (double us = range.min_us; us <= range.max_us * 1.01; us *= 10) {
    std::ostringstream label;
    label << us / kMicrosPerMilli << " ms";
    DrawLine(out, kLeft, YOf(us, range), kWidth - kRight, YOf(us, range));
    DrawText(out, kLeft - 6, YOf(us, range) + 4, "end", label.str());
  }
}

void DrawCurve(std::ostream& out, const plotted_curve& curve,
               const char* colour, const value_range& range) {
  out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colour
      << "\" points=\"";
  for (const percentile_point& point : curve.points) {
    const auto us =
        std::max<double>(1.0, static_cast<double>(point.latency.count()));
    out << XOf(point.percentile) << "," << YOf(us, range) << " ";
  }
  out << "\"/>\n";
}

}  // namespace

std::string PlotCurves(const std::vector<plotted_curve>& curves) {
  const value_range range = RangeOf(curves);
  std::ostringstream out;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth
      << "\" height=\"" << kHeight
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  DrawGrid(out, range);
  for (std::size_t i = 0; i < curves.size(); ++i) {
    const char* colour = kColours[i % kColourCount];
    DrawCurve(out, curves[i], colour, range);
    const double y = kTop + kLineHeight * static_cast<double>(i + 1);
    out << "<rect x=\"" << kLeft + 10 << "\" y=\"" << y - 9
        << "\" width=\"10\" height=\"10\" fill=\"" << colour << "\"/>\n";
    DrawText(out, kLeft + 26, y, "start", curves[i].name);
  }
  DrawText(out, kWidth / 2, kHeight - 12, "middle", "share of queries");
  out << "</svg>\n";
  return out.str();
}

}  // namespace papayaglade
