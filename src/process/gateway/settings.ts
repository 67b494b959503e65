/** Schema of the gateway process's settings file (JSON with comments), which is validated at start-up. */
import * as z from "zod/mini";
import { readTextFile } from "../../common/read-text-file.js";
import { parseSocketAddress } from "../../domain/gateway/server-entry.js";
import { parseAndValidate } from "../settings/parse-checked.js";

const text = () => z.string().check(z.minLength(1, "a non-empty string"));
const address = () =>
    z.pipe(
        z.string().check(z.refine(value => parseSocketAddress(value) !== undefined, "IP:PORT")),
        z.transform(value => parseSocketAddress(value)!),
    );
const positive = () => z.number().check(z.positive("a number greater than 0"));

const gatewaySettingsSchema = z.object({
    router: z.object({ name: text(), availabilityZone: text(), region: text() }),
    listen: z.object({
        callers: address(),
        readiness: address(),
        peers: address(),
        metrics: address(),
    }),
    /**
     * Peer addresses of a few routers, which a router that starts while the store is unavailable asks for the store's
     * contents; some may be outdated.
     */
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

/** Reads and validates the settings file. Throws UnreadableFileError or InvalidSettingsError. */
export async function readGatewaySettings(file: string): Promise<GatewaySettings> {
    return parseAndValidate(await readTextFile(file), file, gatewaySettingsSchema);
}
