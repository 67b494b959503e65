/** The settings of a gateway process: JSON with comments, checked before anything else is done. */
import * as z from "zod/mini";
import { readTextFile } from "../../common/read-text-file.js";
import { parseSocketAddress } from "../../domain/gateway/server-entry.js";
import { parseChecked } from "../settings/parse-checked.js";

const text = () => z.string().check(z.minLength(1, "a text that is not empty"));
const address = () =>
    z.pipe(
        z.string().check(z.refine(value => parseSocketAddress(value) !== undefined, "IP:PORT")),
        z.transform(value => parseSocketAddress(value)!),
    );
const positive = () => z.number().check(z.positive("a number over 0"));

const gatewaySettingsSchema = z.object({
    router: z.object({ name: text(), availabilityZone: text(), region: text() }),
    listen: z.object({
        callers: address(),
        readiness: address(),
        peers: address(),
        metrics: address(),
    }),
    /** Peer addresses of a few routers, for one that starts while the store turns it away; they may be stale. */
    contacts: z.array(address()),
    store: z.object({ address: address(), minimumLeaseMilliseconds: positive() }),
    machine: z.object({ maximumDescriptors: positive(), memoryMegabytes: positive() }),
    bounds: z.object({
        drainMilliseconds: positive(),
        shutdownGraceSeconds: positive(),
        configurationApplyMilliseconds: positive(),
        retryRatio: z.number().check(z.minimum(0, "a number of 0 or more")),
        retryWindowSeconds: positive(),
        retryExtra: z.number().check(z.minimum(0, "a number of 0 or more")),
        stallMilliseconds: positive(),
    }),
});

export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
export type GatewayBounds = GatewaySettings["bounds"];

/** Reads and checks a file. Throws UnreadableFileError or InvalidSettingsError. */
export async function readGatewaySettings(file: string): Promise<GatewaySettings> {
    return parseChecked(await readTextFile(file), file, gatewaySettingsSchema);
}
