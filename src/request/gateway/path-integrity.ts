/**
 * Asks the later servers of a path whether they still compute their layers. The first one ends its stream in order when one of
 * them does not, and without framing such an end looks like that of the whole stream.
 */
import { waitForInput } from "../../common/event-loop.js";
import { probeTimeoutMilliseconds } from "../../connection/gateway/connection-probe.js";
import type { ServerControl } from "../../domain/gateway/server-control.js";
import { isSameStart } from "../../domain/gateway/server-entry.js";
import { ConnectionFailedError, ConnectionFailure } from "../../errors/index.js";
import type { LayerPath, LayerPathPart } from "./layer-path-finder.js";

/** Resolves to false if one of them says so, or accepts no connection; a server that does not answer in time says nothing. */
export async function isPathIntact(
    { parts }: LayerPath,
    control: Pick<ServerControl, "readReport">,
): Promise<boolean> {
    const checks = parts.slice(1).map(part => computesLayers(part, control));
    const inTime = waitForInput(probeTimeoutMilliseconds).then(() => true);
    const answers = await Promise.all(checks.map(check => Promise.race([check, inTime])));
    return answers.every(answer => answer);
}

async function computesLayers(
    { server, layers }: LayerPathPart,
    control: Pick<ServerControl, "readReport">,
): Promise<boolean> {
    try {
        const { bornAt, layers: held } = await control.readReport(server);
        return isSameStart(server, { id: server.id, bornAt })
            && held !== undefined && held.first <= layers.first && layers.last <= held.last;
    }
    catch (error) {
        return !(error instanceof ConnectionFailedError && error.failure === ConnectionFailure.refused);
    }
}
