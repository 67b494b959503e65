/** Runs a router in this process: starts it with the given settings and drains it on SIGTERM or SIGINT. */
import { createLogger } from "../common/logger.js";
import { type Metrics, SilentMetrics } from "../common/metrics.js";
import { readTextFile } from "../common/read-text-file.js";
import { StatsdMetrics } from "../process/metrics/statsd-metrics.js";
import type { RouterSettings } from "../process/settings/schema.js";
import { Router } from "./router.js";

async function readCredential(file: string | undefined): Promise<string | undefined> {
    return file === undefined ? undefined : (await readTextFile(file)).trim();
}

/** Resolves after the router has drained and stopped. */
export async function runRouter(settings: RouterSettings): Promise<void> {
    const logger = createLogger(settings.logs.format, settings.logs.level, settings.router.id);
    const statsd = settings.metrics === undefined
        ? undefined
        : new StatsdMetrics({ ...settings.metrics, tags: { router: settings.router.id } }, logger);
    const metrics: Metrics = statsd ?? new SilentMetrics();
    const router = await Router.create({
        settings,
        logger,
        metrics,
        orderCredential: await readCredential(settings.backendServers.orderCredentialFile),
    });
    await router.start();
    const stop = () => void router.stop();
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
    await router.stopped;
    await statsd?.stop();
    process.off("SIGTERM", stop);
    process.off("SIGINT", stop);
}
