/** Renders the placement as an SVG chart with Vega-Lite: layers by backend server and availability zone. */
import type { TopLevelSpec } from "vega-lite";
import type { PlacementPlanStatus, RangeStatus } from "../process/placement/placement-status.js";

const rowHeightPixels = 14;
const zoneWidthPixels = 260;

/** One bar of the chart: a layer range that a backend server holds or is to hold. `end` is the last layer plus one. */
interface LayerBar {
    readonly zone: string;
    readonly server: string;
    readonly model: string;
    readonly first: number;
    readonly end: number;
    readonly state: "held" | "wanted";
}

/** Returns the SVG text. Held ranges are opaque; assigned ranges that are not fully held yet are translucent. */
export async function renderPlacementSvg(plan: PlacementPlanStatus): Promise<string> {
    // Imported on demand, because no other command needs the charting library.
    const vega = await import("vega");
    const vegaLite = await import("vega-lite");
    const { spec } = vegaLite.compile(createSpecification(listBars(plan)));
    const view = new vega.View(vega.parse(spec), { renderer: "none" });
    try {
        return await view.toSVG();
    }
    finally {
        view.finalize();
    }
}

/** Lists the held ranges of every backend server, and its assigned range if that is not fully held yet. */
export function listBars(plan: PlacementPlanStatus): LayerBar[] {
    return plan.servers.flatMap(server => {
        const bar = (range: RangeStatus, state: LayerBar["state"]): LayerBar => ({
            zone: `${server.region}/${server.availabilityZone}`,
            server: server.id,
            model: range.model,
            first: range.firstLayer,
            end: range.lastLayer + 1,
            state,
        });
        const { wanted } = server;
        const isHeld = wanted !== undefined
            && server.holds.some(held =>
                held.model === wanted.model && held.modelVersion === wanted.modelVersion
                && held.firstLayer <= wanted.firstLayer && wanted.lastLayer <= held.lastLayer
            );
        return [
            ...server.holds.map(range => bar(range, "held")),
            ...wanted === undefined || isHeld ? [] : [bar(wanted, "wanted")],
        ];
    });
}

function createSpecification(bars: readonly LayerBar[]): TopLevelSpec {
    return {
        $schema: "https://vega.github.io/schema/vega-lite/v6.json",
        title: "Layers by backend server and availability zone",
        data: { values: [...bars] },
        facet: { column: { field: "zone", type: "nominal", title: "availability zone" } },
        resolve: { scale: { y: "independent" } },
        spec: {
            width: zoneWidthPixels,
            height: { step: rowHeightPixels },
            mark: { type: "bar", stroke: "white" },
            encoding: {
                y: { field: "server", type: "nominal", title: "backend server" },
                x: { field: "first", type: "quantitative", title: "layer" },
                x2: { field: "end" },
                color: { field: "model", type: "nominal", title: "model" },
                opacity: {
                    field: "state",
                    type: "ordinal",
                    title: "state",
                    scale: { domain: ["held", "wanted"], range: [1, 0.35] },
                },
            },
        },
    };
}
