/** Draws layers over backend servers and availability zones as an SVG picture, by Vega-Lite. */
import type { TopLevelSpec } from "vega-lite";
import type { PlacementPlanStatus, RangeStatus } from "../process/placement/placement-status.js";

const rowHeightPixels = 14;
const zoneWidthPixels = 260;

/** One bar of the picture; a layer's bar ends where the next layer's begins. */
interface PictureBar {
    readonly zone: string;
    readonly server: string;
    readonly model: string;
    readonly first: number;
    readonly end: number;
    readonly state: "held" | "wanted";
}

/** The picture's text. Held ranges are solid; ranges that are still to be loaded are pale. */
export async function drawPlacement(plan: PlacementPlanStatus): Promise<string> {
    // Loaded here, since no other command needs the charting library.
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

/** The bars of every backend server: what it holds, and what it is to hold and does not yet. */
export function listBars(plan: PlacementPlanStatus): PictureBar[] {
    return plan.servers.flatMap(server => {
        const bar = (range: RangeStatus, state: PictureBar["state"]): PictureBar => ({
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

function createSpecification(bars: readonly PictureBar[]): TopLevelSpec {
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
