#include "poplarctl/timeline_page.hpp"

#include "base/json_member.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace poplarstile::poplarctl
{
namespace
{

using nlohmann::json;

constexpr std::string_view page_head = R"html(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Time line</title>
<style>
body { font: 13px/1.3 sans-serif; margin: 0; color: #222; }
header { position: sticky; top: 0; z-index: 1; background: #fff; border-bottom: 1px solid #bbb;
         padding: 8px 12px; display: flex; gap: 14px; align-items: center; flex-wrap: wrap; }
h1 { font-size: 16px; margin: 0; }
input[type=search] { width: 22em; }
#lanes { position: relative; height: 22px; font-weight: bold; width: 100%; }
#lanes span { position: absolute; white-space: nowrap; }
.row { cursor: pointer; }
.row:hover rect, .row.picked rect { fill: #fff3c4; }
.row rect { fill: transparent; }
.arrow { fill: none; stroke: #b5b5b5; stroke-width: 1.2; }
.arrow.cause { stroke: #d62728; stroke-dasharray: 4 2; }
</style></head><body>
<header><h1>Time line</h1>
<label>show <select id="group"><option value="">everything</option><option>job</option>
<option>request</option><option>rule</option><option>fault</option></select></label>
<label>containing <input id="words" type="search" placeholder="subject, kind, process, detail"></label>
<label>from <input id="first" type="number" min="0" step="500" value="0" style="width:6em"></label>
<span id="count"></span>
<span>Click an event to see only its subject. Grey: next of the same subject; red: cause.</span>
<div id="lanes"></div></header>
<svg id="plane" xmlns="http://www.w3.org/2000/svg" font-family="sans-serif" font-size="12"></svg>
<script type="application/json" id="events">)html";

constexpr std::string_view page_tail = R"html(</script>
<script>
"use strict";
const events = JSON.parse(document.getElementById("events").textContent);
const lanes = [...new Set(events.map(e => e.process))].sort();
const colours = {job: "#1f77b4", request: "#2ca02c", rule: "#9467bd", fault: "#d62728", other: "#777"};
const rowHeight = 18, laneWidth = 120, timeWidth = 110, pageRows = 1000;
const textLeft = timeWidth + lanes.length * laneWidth + 10;
const faults = /silent|lost|dead|suspect|paused|killed|requeued|fencing|left|leaving|failed|unknown|late/;
const groupOf = e => faults.test(e.kind + " " + e.detail) ? "fault"
  : e.subject.startsWith("job/") ? "job" : e.subject.startsWith("request/") ? "request"
  : e.subject.startsWith("rules/") ? "rule" : "other";
const belongs = (e, group) => !group || groupOf(e) === group ||
  e.subject.startsWith(group === "rule" ? "rules/" : group + "/");
const begin = events.length ? events[0].wall_us : 0;
const laneX = e => timeWidth + (lanes.indexOf(e.process) + 0.5) * laneWidth;
const svg = (name, attributes, text) => {
  const made = document.createElementNS("http://www.w3.org/2000/svg", name);
  for (const key in attributes) made.setAttribute(key, attributes[key]);
  if (text !== undefined) made.textContent = text;
  return made;
};
const field = id => document.getElementById(id);

function arrow(plane, from, to, kind) {
  const [x1, y1, x2, y2] = [from.x, from.y, to.x, to.y];
  const bend = x1 === x2 ? x1 - 22 : (x1 + x2) / 2;
  plane.append(svg("path", {class: "arrow " + kind, "marker-end": "url(#tip)",
    d: `M${x1},${y1} C${bend},${y1 + 6} ${bend},${y2 - 6} ${x2},${y2}`}));
}

function draw() {
  const group = field("group").value, words = field("words").value.toLowerCase().split(/\s+/);
  const chosen = events.filter(e => belongs(e, group) && words.every(word =>
    [e.subject, e.kind, e.process, e.detail, e.cause, e.part].join(" ").toLowerCase().includes(word)));
  const first = Math.max(0, Math.min(Number(field("first").value) || 0, Math.max(0, chosen.length - 1)));
  const shown = chosen.slice(first, first + pageRows);
  field("count").textContent = `${shown.length} of ${chosen.length} events shown, ${events.length} in all`;
  const plane = field("plane");
  plane.replaceChildren();
  plane.setAttribute("width", textLeft + 900);
  plane.setAttribute("height", (shown.length + 1) * rowHeight);
  const defs = svg("defs", {});
  defs.innerHTML = '<marker id="tip" viewBox="0 0 8 8" refX="10" refY="4" markerWidth="6" ' +
    'markerHeight="6" orient="auto"><path d="M0,0 L8,4 L0,8 z" fill="#999"/></marker>';
  plane.append(defs);
  lanes.forEach((lane, index) => plane.append(svg("line", {stroke: "#e3e3e3", y1: 0,
    x1: timeWidth + (index + 0.5) * laneWidth, x2: timeWidth + (index + 0.5) * laneWidth,
    y2: (shown.length + 1) * rowHeight})));
  const arrows = svg("g", {}), rows = svg("g", {});
  plane.append(arrows, rows);
  const last = new Map();
  shown.forEach((e, index) => {
    const at = {x: laneX(e), y: (index + 0.7) * rowHeight};
    const before = last.get(e.subject), caused = e.cause && last.get(e.cause);
    if (before) arrow(arrows, before, at, "");
    if (caused) arrow(arrows, caused, at, "cause");
    last.set(e.subject, at);
    const row = svg("g", {class: "row"});
    row.append(svg("rect", {x: 0, y: at.y - rowHeight / 2, width: textLeft + 900, height: rowHeight}),
      svg("text", {x: 8, y: at.y + 4, fill: "#777"}, `+${((e.wall_us - begin) / 1e6).toFixed(3)} s`),
      svg("circle", {cx: at.x, cy: at.y, r: 4.5, fill: colours[groupOf(e)]}),
      svg("text", {x: textLeft, y: at.y + 4, fill: colours[groupOf(e)]}, e.kind),
      svg("text", {x: textLeft + 150, y: at.y + 4}, e.subject.length > 48 ? e.subject.slice(0, 47) + "…" : e.subject),
      svg("text", {x: textLeft + 470, y: at.y + 4, fill: "#555"},
        e.detail + (e.cause ? `  (${e.cause})` : "")),
      svg("title", {}, `${e.kind}\n${e.subject}\n${e.detail}\ncause: ${e.cause}\n${e.process} ${e.part} #${e.seq}`));
    row.addEventListener("click", () => { field("group").value = ""; field("first").value = 0;
      field("words").value = field("words").value === e.subject ? "" : e.subject; draw(); });
    rows.append(row);
  });
}

lanes.forEach((lane, index) => {
  const name = document.createElement("span");
  name.textContent = lane;
  name.style.left = `${timeWidth + (index + 0.5) * laneWidth - 12}px`;
  name.style.transform = "translateX(-50%)";
  field("lanes").append(name);
});
["group", "words", "first"].forEach(id => field(id).addEventListener("input", draw));
draw();
</script></body></html>
)html";

/// JSON that can't end the script element that it stands in.
std::string script_text(const json& value)
{
    const auto text = value.dump(-1, ' ', true, json::error_handler_t::replace);
    std::string safe;
    for (const char letter : text) {
        if (letter == '<') {
            safe += "\\u003c";
        } else {
            safe += letter;
        }
    }
    return safe;
}

std::string text_of(const json& event, const char* name)
{
    return base::member_or(event, name, std::string{});
}

std::uint64_t number_of(const json& event, const char* name)
{
    return base::member_or(event, name, std::uint64_t{0});
}

/// The members that the page shows, each of its type.
json shown_members(const json& event)
{
    json shown{{"wall_us", number_of(event, "wall_us")}, {"seq", number_of(event, "seq")}};
    for (const auto* const name : {"process", "part", "kind", "subject", "cause", "detail"}) {
        shown[name] = text_of(event, name);
    }
    return shown;
}

} // namespace

std::string timeline_page(std::vector<json> events)
{
    std::erase_if(events, [](const json& event) { return !event.is_object(); });
    const auto place = [](const json& event) {
        return std::tuple{number_of(event, "hlc"), text_of(event, "process"),
                          number_of(event, "seq")};
    };
    std::ranges::stable_sort(events, {}, place);
    json shown = json::array();
    for (const auto& event : events) {
        shown.push_back(shown_members(event));
    }
    std::string page{page_head};
    page += script_text(shown);
    page += page_tail;
    return page;
}

} // namespace poplarstile::poplarctl
