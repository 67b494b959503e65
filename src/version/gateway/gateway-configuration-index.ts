/** Lookup tables by host, path and API key, built once for each version of the gateway's configuration. */
import type { GatewayConfiguration, GatewayCustomer, GatewayRoute } from "../../domain/gateway/configuration.js";

export class GatewayConfigurationIndex {
    private readonly routesByHost = new Map<string, GatewayRoute[]>();
    private readonly customersByKey = new Map<string, GatewayCustomer>();

    constructor(readonly configuration: GatewayConfiguration) {
        for (const route of configuration.routes) {
            const routes = this.routesByHost.get(route.host) ?? [];
            routes.push(route);
            this.routesByHost.set(route.host, routes);
        }
        for (const routes of this.routesByHost.values()) {
            routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
        }
        for (const customer of configuration.customers ?? []) {
            customer.keys.forEach(key => this.customersByKey.set(key, customer));
        }
    }

    get version(): number {
        return this.configuration.version;
    }

    /** Whether callers must present an API key on routes that are not public. */
    get requiresKeys(): boolean {
        return this.configuration.customers !== undefined;
    }

    /** Returns the route of the host with the longest matching path prefix. The host may include a port. */
    findRoute(host: string | undefined, path: string): GatewayRoute | undefined {
        const name = (host ?? "").toLowerCase();
        const routes = this.routesByHost.get(name) ?? this.routesByHost.get(withoutPort(name));
        return routes?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
    }

    findCustomer(key: string | undefined): GatewayCustomer | undefined {
        return key === undefined ? undefined : this.customersByKey.get(key);
    }
}

function withoutPort(host: string): string {
    const colon = host.lastIndexOf(":");
    return colon === -1 ? host : host.slice(0, colon);
}
