package io.persimmonstack.load.replay;

import io.persimmonstack.runtime.ProgramException;
import java.awt.Rectangle;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.svg.SVGGraphics2D;

/** Plots the 99th percentile of cold starts against idle accelerator hours, with one point for each policy. */
final class TradeOffPlot {
    private static final int WIDTH_PIXELS = 900;
    private static final int HEIGHT_PIXELS = 600;
    /** Smallest value drawn, since a logarithmic axis cannot show 0. */
    private static final double MIN_HOURS = 0.1;

    private TradeOffPlot() {}

    /** Writes the plot of one fleet as an SVG file into the directory, which is created if absent. */
    static void write(Path directory, Fleet fleet, List<ReplayResult> results) throws ProgramException {
        XYSeriesCollection points = new XYSeriesCollection();
        for (ReplayResult result : results) {
            XYSeries series = new XYSeries(result.policy());
            series.add(Math.max(MIN_HOURS, result.idleAcceleratorHours()), result.coldStartSeconds(99));
            points.addSeries(series);
        }
        JFreeChart chart = ChartFactory.createScatterPlot(
                fleet.name(),
                "idle accelerator hours",
                "cold start p99, seconds",
                points,
                PlotOrientation.VERTICAL,
                true,
                false,
                false);
        chart.getXYPlot().setDomainAxis(new LogAxis("idle accelerator hours"));
        SVGGraphics2D canvas = new SVGGraphics2D(WIDTH_PIXELS, HEIGHT_PIXELS);
        chart.draw(canvas, new Rectangle(WIDTH_PIXELS, HEIGHT_PIXELS));
        try {
            Files.createDirectories(directory);
            Files.writeString(directory.resolve("trade-off-" + fleet.name() + ".svg"), canvas.getSVGDocument());
        } catch (IOException e) {
            throw new ProgramException(directory + ": plot cannot be written: " + e.getMessage(), e);
        }
    }
}
