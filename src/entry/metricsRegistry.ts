import { Gauge, Registry } from 'prom-client'

/** Metrics of one entry instance in the Prometheus text format. */
export class MetricsRegistry {
  private readonly registry = new Registry()

  /** Registers a gauge whose value is read at each scrape. */
  addGauge (name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({ name: `vanillaturn_${name}`, help, registers: [this.registry], collect: (): void => gauge.set(read()) })
  }

  async response (): Promise<Response> {
    return new Response(await this.registry.metrics(), { headers: { 'content-type': this.registry.contentType } })
  }
}
